package operatorapi

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
)

func serve(t *testing.T, api *API, method, path, key, body string) *httptest.ResponseRecorder {
	t.Helper()
	e := echo.New()
	api.Mount(e)
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set(echo.HeaderAuthorization, key)
	request.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, request)
	return recorder
}

// TestPageColumnsMatchTable guards against a column that is added to the table, or
// moved in it, without the same change in the page's script.
func TestPageColumnsMatchTable(t *testing.T) {
	script, err := pageFiles.ReadFile("page/page.js")
	assert.NilError(t, err)
	rows := config.Table{
		Tiers:         make([]config.TierRow, 1),
		Organisations: make([]config.OrganisationRow, 1),
		Models:        make([]config.ModelRow, 1),
		Services:      make([]config.ServiceRow, 1),
		Endpoints:     make([]config.EndpointRow, 1),
	}.Rows()
	for _, row := range rows {
		var columns []string
		for _, cell := range row.Cells() {
			columns = append(columns, "'"+cell.Column+"'")
		}
		line := fmt.Sprintf("  %s: [%s],", row.Kind(), strings.Join(columns, ", "))
		assert.Assert(t, strings.Contains(string(script), line), line)
	}
}

func TestRoutes(t *testing.T) {
	api := New(stubTable{}, []Key{{Name: "anna", Hash: config.HashKey("k")}})
	tier := `{"name":"gold","rank":0,"deadline_ms":1000}`
	change := `{"changes":[{"kind":"tiers","key":"gold","after":{"tier":` + tier + `}}]}`
	cases := []struct {
		method, path, key, body string
		status                  int
		part                    string
	}{
		{"GET", "/operator", "", "", http.StatusFound, ""},
		{"GET", "/operator/", "", "", http.StatusOK, "page.js"},
		{"GET", "/operator/page.js", "", "", http.StatusOK, "'use strict'"},
		{"GET", "/operator/v1/table", "", "", http.StatusUnauthorized, "Not authorised"},
		{"GET", "/operator/v1/table", "k", "", http.StatusUnauthorized, "Not authorised"},
		{"GET", "/operator/v1/table", "Bearer wrong", "", http.StatusUnauthorized, "Not authorised"},
		{"GET", "/operator/v1/table", "Bearer k", "", http.StatusOK, `"generation":3`},
		{"GET", "/operator/v1/table?generation=x", "Bearer k", "", http.StatusBadRequest, "not_accepted"},
		{"POST", "/operator/v1/edits", "Bearer k", "{", http.StatusBadRequest, "not_accepted"},
		{"GET", "/operator/v1/edits/nothing", "Bearer k", "", http.StatusBadRequest, "not_accepted"},
		{"POST", "/operator/v1/table/check", "Bearer k", `{"tiers":[{"name":""}]}`, http.StatusOK, `"column":"deadline_ms"`},
		{"POST", "/operator/v1/table/preview", "Bearer k", change, http.StatusOK, `"after":"gold"`},
		{"POST", "/operator/v1/table/preview", "Bearer k", strings.Replace(change, "1000", "0", 1), http.StatusOK, `"problems"`},
		{"POST", "/operator/v1/table/preview", "Bearer k", strings.Replace(change, `"key":"gold"`, `"key":"other"`, 1), http.StatusBadRequest, "must name one row"},
	}
	for _, c := range cases {
		got := serve(t, api, c.method, c.path, c.key, c.body)
		assert.Equal(t, got.Code, c.status, "%s %s: %s", c.method, c.path, got.Body)
		assert.Assert(t, strings.Contains(got.Body.String(), c.part), "%s %s: %s", c.method, c.path, got.Body)
	}
	page := serve(t, api, "GET", PagePath, "", "")
	assert.Equal(t, page.Header().Get(echo.HeaderContentSecurityPolicy), contentSecurityPolicy)
}

// stubTable is an empty table of generation 3.
type stubTable struct{ unusedMethods }

// operators stands for the methods that the tests do not call.
type unusedMethods = Table

func (stubTable) Table(context.Context, uint64) (config.Table, document.Version, error) {
	return config.Table{}, document.Version{Stamp: document.Stamp{Generation: 3}}, nil
}
