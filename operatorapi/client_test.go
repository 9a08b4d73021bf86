package operatorapi

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// unusedAddress returns an address without a listener. Its socket stays bound until the test ends, so that no other process
// listens there meanwhile.
func unusedAddress(t *testing.T) string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	return fmt.Sprintf("http://127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}

func TestIsNotAccepted(t *testing.T) {
	respond := func(status int, outcome Outcome) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if status == 0 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Content-Type", problemMediaType)
			w.WriteHeader(status)
			_, _ = fmt.Fprintf(w, `{"status":%d,"outcome":%q}`, status, outcome)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	cases := []struct {
		name  string
		nodes []string
		// afterEdit and afterQuery are the expected results of IsNotAccepted for the
		// errors of Edit and EditOutcome.
		afterEdit, afterQuery bool
	}{
		{"no node reachable", []string{unusedAddress(t)}, true, false},
		{"connection closed without a response", []string{respond(0, "")}, false, false},
		{"not accepted", []string{respond(503, OutcomeNotAccepted)}, true, true},
		{"unknown", []string{respond(504, OutcomeUnknown)}, false, false},
		{"unknown, then known to another node", []string{respond(504, OutcomeUnknown), respond(503, OutcomeNotAccepted)}, false, true},
		{"store unreachable, then connection closed", []string{respond(503, OutcomeNotAccepted), respond(0, "")}, false, true},
	}
	for _, c := range cases {
		client := NewClient(c.nodes, "key")
		_, err := client.Edit(t.Context(), EditRequest{})
		assert.Equal(t, IsNotAccepted(err), c.afterEdit, "%s: %v", c.name, err)
		_, err = client.EditOutcome(t.Context(), EditRequest{}.ID, 0)
		assert.Equal(t, IsNotAccepted(err), c.afterQuery, "%s: %v", c.name, err)
	}
}
