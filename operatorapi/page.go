package operatorapi

import (
	"embed"
	"net/http"

	"github.com/labstack/echo/v4"
)

//go:embed page
var pageFiles embed.FS

// PagePath is the path of the operators' page. The page needs no authentication,
// as it contains no secrets; it asks for the operator's key and sends it with each
// request.
const PagePath = "/operator/"

// contentSecurityPolicy limits the page to its own script, style sheet and API.
const contentSecurityPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

func (a *API) mountPage(e *echo.Echo) {
	files := echo.MustSubFS(pageFiles, "page")
	g := e.Group(PagePath, setSecurityHeaders)
	g.GET("", echo.StaticFileHandler("index.html", files))
	g.GET("page.css", echo.StaticFileHandler("page.css", files))
	g.GET("page.js", echo.StaticFileHandler("page.js", files))
	e.GET("/operator", func(c echo.Context) error { return c.Redirect(http.StatusFound, PagePath) })
}

func setSecurityHeaders(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		header := c.Response().Header()
		header.Set(echo.HeaderContentSecurityPolicy, contentSecurityPolicy)
		header.Set(echo.HeaderXContentTypeOptions, "nosniff")
		header.Set(echo.HeaderCacheControl, "no-cache")
		return next(c)
	}
}
