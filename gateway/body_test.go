package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/routetable"
)

// Guards against refusals that wait for a body that does not come, and against connections that are kept although it may still come, or
// closed although it has come.
func TestRefusalBeforeTheBodyIsRead(t *testing.T) {
	for _, test := range []struct {
		name, path      string
		announced, sent int
		fields          string
		timeout         time.Duration
		status          int
		keepsOpen       bool
	}{
		{name: "no route, whole body", path: "/none/", announced: 100, sent: 100, status: http.StatusNotFound, keepsOpen: true},
		{name: "no route, body stops", path: "/none/", announced: 100, sent: 99, status: http.StatusNotFound},
		{name: "no route, nothing of a long body", path: "/none/", announced: 4 << 20, status: http.StatusNotFound},
		{name: "no route, body not asked for", path: "/none/", announced: 100, fields: "Expect: 100-continue\r\n", status: http.StatusNotFound},
		{name: "body over the limit", path: "/r/", announced: 1 << 30, status: http.StatusRequestEntityTooLarge},
		{name: "body stops", path: "/r/", announced: 100, sent: 99, status: http.StatusRequestTimeout, timeout: 50 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, func(r *routetable.Route) {
				if test.timeout > 0 {
					r.Timeout = test.timeout
				}
			}, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 1) })
			conn, err := net.Dial("tcp4", strings.TrimPrefix(f.url, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Id: r\r\nX-Key: key\r\n%sContent-Length: %d\r\n\r\n%s",
				test.path, test.fields, test.announced, strings.Repeat("x", test.sent))
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, test.status)
			assert.Equal(t, response.Close, !test.keepsOpen)
			if !test.keepsOpen {
				_, err = reader.ReadByte()
				assert.Assert(t, err != nil, "the connection is still open")
			}
		})
	}
}
