package operatorapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
)

const (
	// maxRequestBody limits the size of a request body; a whole table fits.
	maxRequestBody = "16M"
	// editTimeout limits an edit, which goes on after its operator's connection broke.
	editTimeout = 30 * time.Second
	// MaxRequestTime is the longest time that a request takes: an edit and its response.
	MaxRequestTime = editTimeout + time.Second
	// operatorContextKey is the key of the operator's name in the request context.
	operatorContextKey = "operator"
)

// Table is the access to the configuration table that the API needs; it is
// implemented by *agreed.Service.
type Table interface {
	Edit(ctx context.Context, edit document.Edit, changes []config.Change) (document.Version, error)
	Rollback(ctx context.Context, edit document.Edit, generation, expected uint64) (document.Version, error)
	ResolveEdit(ctx context.Context, id document.EditID, base uint64) (document.Version, error)
	History(ctx context.Context) ([]document.Version, error)
	Table(ctx context.Context, generation uint64) (config.Table, document.Version, error)
	Status(ctx context.Context) []document.NodeStatus
}

// API serves the operator interface of a node.
type API struct {
	table Table
	keys  []Key
}

// New returns the operator interface of a node. Without keys every request is
// refused.
func New(table Table, keys []Key) *API { return &API{table: table, keys: keys} }

// Mount registers the API routes and the page.
func (a *API) Mount(e *echo.Echo) {
	a.mountPage(e)
	g := e.Group(PathPrefix, middleware.BodyLimit(maxRequestBody), a.authenticate)
	g.GET("/table", a.getTable)
	g.POST("/table/check", a.checkTable)
	g.POST("/table/preview", a.preview)
	g.POST("/edits", a.edit)
	g.GET("/edits/:id", a.editOutcome)
	g.POST("/rollback", a.rollback)
	g.GET("/history", a.history)
	g.GET("/status", a.status)
}

func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		name, ok := operatorName(a.keys, c.Request().Header.Get(echo.HeaderAuthorization))
		if !ok {
			return respondProblem(c, &Failure{Title: "Not authorised", Status: http.StatusUnauthorized, Detail: "the operator's key is missing or not known to this node"})
		}
		c.Set(operatorContextKey, name)
		return next(c)
	}
}

func (a *API) getTable(c echo.Context) error {
	generation, err := numberParam(c, "generation")
	if err != nil {
		return respondProblem(c, err)
	}
	table, version, err := a.table.Table(c.Request().Context(), generation)
	if err != nil {
		return respondProblem(c, err)
	}
	return c.JSON(http.StatusOK, TableReply{Version: version, Table: table})
}

func (a *API) checkTable(c echo.Context) error {
	var table config.Table
	if err := c.Bind(&table); err != nil {
		return respondProblem(c, badRequest(err))
	}
	return c.JSON(http.StatusOK, PreviewReply{Problems: config.Validate(&table)})
}

func (a *API) preview(c echo.Context) error {
	var request PreviewRequest
	if err := c.Bind(&request); err != nil {
		return respondProblem(c, badRequest(err))
	}
	current, version, err := a.table.Table(c.Request().Context(), 0)
	if err != nil {
		return respondProblem(c, err)
	}
	reply, err := previewChanges(current, request.Changes)
	if err != nil {
		return respondProblem(c, badRequest(err))
	}
	reply.Version = version
	return c.JSON(http.StatusOK, reply)
}

// previewChanges returns the effect that the changes would have on the table.
func previewChanges(current config.Table, changes []config.Change) (PreviewReply, error) {
	var reply PreviewReply
	next, err := config.ApplyChanges(current, changes)
	if errors.As(err, &reply.Conflicts) || errors.As(err, &reply.Problems) {
		return reply, nil
	}
	if err != nil {
		return reply, err
	}
	reply.Effects = config.ShareEffects(current, next)
	for _, change := range config.Diff(current, next) {
		for _, cell := range change.Cells() {
			reply.Cells = append(reply.Cells, CellEffect{Kind: change.Kind, Key: change.Key, CellChange: cell})
		}
	}
	return reply, nil
}

func (a *API) edit(c echo.Context) error {
	var request EditRequest
	if err := c.Bind(&request); err != nil {
		return respondProblem(c, badRequest(err))
	}
	ctx, cancel := detachedContext(c)
	defer cancel()
	version, err := a.table.Edit(ctx, newEdit(c, request.ID, request.Note), request.Changes)
	if err != nil {
		return respondProblem(c, err)
	}
	return c.JSON(http.StatusOK, EditReply{Version: version})
}

func (a *API) rollback(c echo.Context) error {
	var request RollbackRequest
	if err := c.Bind(&request); err != nil {
		return respondProblem(c, badRequest(err))
	}
	ctx, cancel := detachedContext(c)
	defer cancel()
	version, err := a.table.Rollback(ctx, newEdit(c, request.ID, request.Note), request.Generation, request.Expected)
	if err != nil {
		return respondProblem(c, err)
	}
	return c.JSON(http.StatusOK, EditReply{Version: version})
}

func (a *API) editOutcome(c echo.Context) error {
	id, err := uuid.Parse(c.Param("id"))
	if err != nil {
		return respondProblem(c, badRequest(err))
	}
	base, err := numberParam(c, "base")
	if err != nil {
		return respondProblem(c, err)
	}
	ctx, cancel := detachedContext(c)
	defer cancel()
	version, err := a.table.ResolveEdit(ctx, id, base)
	if err != nil {
		return respondProblem(c, err)
	}
	return c.JSON(http.StatusOK, EditReply{Version: version})
}

func (a *API) history(c echo.Context) error {
	versions, err := a.table.History(c.Request().Context())
	if err != nil {
		return respondProblem(c, err)
	}
	return c.JSON(http.StatusOK, HistoryReply{Versions: versions})
}

func (a *API) status(c echo.Context) error {
	return c.JSON(http.StatusOK, statusReply(a.table.Status(c.Request().Context())))
}

// detachedContext returns a context that outlives the operator's connection, so
// that an edit ends with a known outcome.
func detachedContext(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(c.Request().Context()), editTimeout)
}

func newEdit(c echo.Context, id document.EditID, note string) document.Edit {
	name, _ := c.Get(operatorContextKey).(string)
	return document.Edit{ID: id, Author: name, Note: note}
}

// numberParam reads an optional number from the query; the default is zero.
func numberParam(c echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest(err)
	}
	return number, nil
}
