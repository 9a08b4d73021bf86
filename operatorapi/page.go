package operatorapi

import (
	"embed"
	"net/http"

	"github.com/labstack/echo/v4"
)

//go:embed page
var pageFiles embed.FS

// PagePath is where the operators' page is. The page itself holds nothing secret;
// it asks for the operator's key and sends it with each request.
const PagePath = "/operator/"

// contentPolicy lets the page run its own script and nothing else.
const contentPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

func (a *API) mountPage(e *echo.Echo) {
	files := echo.MustSubFS(pageFiles, "page")
	g := e.Group(PagePath, securePage)
	g.GET("", echo.StaticFileHandler("index.html", files))
	g.GET("page.css", echo.StaticFileHandler("page.css", files))
	g.GET("page.js", echo.StaticFileHandler("page.js", files))
	e.GET("/operator", func(c echo.Context) error { return c.Redirect(http.StatusFound, PagePath) })
}

func securePage(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		header := c.Response().Header()
		header.Set(echo.HeaderContentSecurityPolicy, contentPolicy)
		header.Set(echo.HeaderXContentTypeOptions, "nosniff")
		header.Set(echo.HeaderCacheControl, "no-cache")
		return next(c)
	}
}
