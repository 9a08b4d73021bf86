package httphostlist

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/hostlist"
)

const twoHosts = `[{"node":"taf-1","address":"127.0.0.1:7001","data_centre":"taf","state":"live"},
	{"node":"usk-1","address":"[::1]:7002","data_centre":"usk","state":"leaving","more":1}]`

func TestList(t *testing.T) {
	host := func(node, address, dc, state string) string {
		return `[{"node":"` + node + `","address":"` + address + `","data_centre":"` + dc + `","state":"` + state + `"}]`
	}
	cases := []struct {
		name   string
		status int
		body   string
		hosts  int
		err    error
	}{
		{"two hosts", 200, twoHosts, 2, nil},
		{"empty", 200, "[]", 0, nil},
		{"down", 503, "", 0, hostlist.ErrUnavailable},
		{"null", 200, "null", 0, hostlist.ErrMalformed},
		{"not JSON", 200, "<html>", 0, hostlist.ErrMalformed},
		{"truncated", 200, twoHosts[:60], 0, hostlist.ErrMalformed},
		{"too large", 200, strings.Repeat(" ", MaxBytes+1), 0, hostlist.ErrMalformed},
		{"no node", 200, host("", "127.0.0.1:1", "taf", "live"), 0, hostlist.ErrMalformed},
		{"no data centre", 200, host("a", "127.0.0.1:1", "", "live"), 0, hostlist.ErrMalformed},
		{"host name as address", 200, host("a", "localhost:1", "taf", "live"), 0, hostlist.ErrMalformed},
		{"unknown state", 200, host("a", "127.0.0.1:1", "taf", "gone"), 0, hostlist.ErrMalformed},
		{"duplicate", 200, "[" + strings.Repeat(strings.Trim(host("a", "127.0.0.1:1", "taf", "live"), "[]")+",", 2) + "]", 0, hostlist.ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Equal(t, r.URL.Path, Path)
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			hosts, err := New(Options{BaseURL: server.URL}).List(t.Context())
			assert.ErrorIs(t, err, c.err)
			assert.Equal(t, len(hosts), c.hosts)
		})
	}
}

func TestListIsFetchedOnlyWhenChanged(t *testing.T) {
	fullResponses := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", `"7"`)
		if r.Header.Get("If-None-Match") == `"7"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullResponses++
		_, _ = w.Write([]byte(twoHosts))
	}))
	client := New(Options{BaseURL: server.URL})
	for range 3 {
		hosts, err := client.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(hosts), 2)
	}
	assert.Equal(t, fullResponses, 1)
	server.Close()
	_, err := client.List(context.Background())
	assert.ErrorIs(t, err, hostlist.ErrUnavailable)
}
