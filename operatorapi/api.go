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
	// maxBody bounds a request's body; a whole table fits.
	maxBody = "16M"
	// editTime bounds an edit even if the operator's connection breaks meanwhile.
	editTime = 30 * time.Second
	// operatorKey is where the operator's name is kept in a request's context.
	operatorKey = "operator"
)

// Table is what the interface needs of the operators' table; *agreed.Service
// has it.
type Table interface {
	Edit(ctx context.Context, edit document.Edit, changes []config.Change) (document.Version, error)
	Rollback(ctx context.Context, edit document.Edit, generation, expected uint64) (document.Version, error)
	Settle(ctx context.Context, id document.EditID, base uint64) (document.Version, error)
	History(ctx context.Context) ([]document.Version, error)
	Table(ctx context.Context, generation uint64) (config.Table, document.Version, error)
	Status(ctx context.Context) []document.NodeStatus
}

// API serves the operators.
type API struct {
	table Table
	keys  []Key
}

// New returns the interface of a node. Without keys every request is refused.
func New(table Table, keys []Key) *API { return &API{table: table, keys: keys} }

// Mount adds the routes and the page.
func (a *API) Mount(e *echo.Echo) {
	a.mountPage(e)
	g := e.Group(Prefix, middleware.BodyLimit(maxBody), a.authenticate)
	g.GET("/table", a.getTable)
	g.POST("/table/check", a.checkTable)
	g.POST("/table/preview", a.preview)
	g.POST("/edits", a.edit)
	g.GET("/edits/:id", a.settle)
	g.POST("/rollback", a.rollback)
	g.GET("/history", a.history)
	g.GET("/status", a.status)
}

func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		name, ok := operatorOf(a.keys, c.Request().Header.Get(echo.HeaderAuthorization))
		if !ok {
			return respond(c, &Failure{Title: "Not authorised", Status: http.StatusUnauthorized, Detail: "the operator's key is missing or not known to this node"})
		}
		c.Set(operatorKey, name)
		return next(c)
	}
}

func (a *API) getTable(c echo.Context) error {
	generation, err := numberParam(c, "generation")
	if err != nil {
		return respond(c, err)
	}
	table, version, err := a.table.Table(c.Request().Context(), generation)
	if err != nil {
		return respond(c, err)
	}
	return c.JSON(http.StatusOK, TableReply{Version: version, Table: table})
}

func (a *API) checkTable(c echo.Context) error {
	var table config.Table
	if err := c.Bind(&table); err != nil {
		return respond(c, badRequest(err))
	}
	return c.JSON(http.StatusOK, PreviewReply{Problems: config.Validate(&table)})
}

func (a *API) preview(c echo.Context) error {
	var request PreviewRequest
	if err := c.Bind(&request); err != nil {
		return respond(c, badRequest(err))
	}
	current, version, err := a.table.Table(c.Request().Context(), 0)
	if err != nil {
		return respond(c, err)
	}
	reply, err := previewOf(current, request.Changes)
	if err != nil {
		return respond(c, badRequest(err))
	}
	reply.Version = version
	return c.JSON(http.StatusOK, reply)
}

// previewOf tells what the changes would do to the table.
func previewOf(current config.Table, changes []config.Change) (PreviewReply, error) {
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
		return respond(c, badRequest(err))
	}
	ctx, cancel := detached(c)
	defer cancel()
	version, err := a.table.Edit(ctx, editOf(c, request.ID, request.Note), request.Changes)
	if err != nil {
		return respond(c, err)
	}
	return c.JSON(http.StatusOK, EditReply{Version: version})
}

func (a *API) rollback(c echo.Context) error {
	var request RollbackRequest
	if err := c.Bind(&request); err != nil {
		return respond(c, badRequest(err))
	}
	ctx, cancel := detached(c)
	defer cancel()
	version, err := a.table.Rollback(ctx, editOf(c, request.ID, request.Note), request.Generation, request.Expected)
	if err != nil {
		return respond(c, err)
	}
	return c.JSON(http.StatusOK, EditReply{Version: version})
}

func (a *API) settle(c echo.Context) error {
	id, err := uuid.Parse(c.Param("id"))
	if err != nil {
		return respond(c, badRequest(err))
	}
	base, err := numberParam(c, "base")
	if err != nil {
		return respond(c, err)
	}
	ctx, cancel := detached(c)
	defer cancel()
	version, err := a.table.Settle(ctx, id, base)
	if err != nil {
		return respond(c, err)
	}
	return c.JSON(http.StatusOK, EditReply{Version: version})
}

func (a *API) history(c echo.Context) error {
	versions, err := a.table.History(c.Request().Context())
	if err != nil {
		return respond(c, err)
	}
	return c.JSON(http.StatusOK, HistoryReply{Versions: versions})
}

func (a *API) status(c echo.Context) error {
	return c.JSON(http.StatusOK, statusReply(a.table.Status(c.Request().Context())))
}

// detached returns a context that outlives the operator's connection, so that
// an edit ends with a known outcome.
func detached(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(c.Request().Context()), editTime)
}

func editOf(c echo.Context, id document.EditID, note string) document.Edit {
	name, _ := c.Get(operatorKey).(string)
	return document.Edit{ID: id, Author: name, Note: note}
}

// numberParam reads an optional number of the query; zero if it is not there.
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
