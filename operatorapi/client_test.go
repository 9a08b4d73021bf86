package operatorapi

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// closedAddress returns an address at which nobody listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return "http://" + listener.Addr().String()
}

func TestWhatAFailureMeans(t *testing.T) {
	answer := func(status int, outcome Outcome) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if status == 0 {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Content-Type", problemType)
			w.WriteHeader(status)
			_, _ = fmt.Fprintf(w, `{"status":%d,"outcome":%q}`, status, outcome)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	cases := []struct {
		name  string
		nodes []string
		// edited and settled tell whether the edit certainly was not accepted.
		edited, settled bool
	}{
		{"no node", []string{closedAddress(t)}, true, false},
		{"broken off", []string{answer(0, "")}, false, false},
		{"not accepted", []string{answer(503, OutcomeNotAccepted)}, true, true},
		{"unknown", []string{answer(504, OutcomeUnknown)}, false, false},
		{"unknown, then another node knows", []string{answer(504, OutcomeUnknown), answer(503, OutcomeNotAccepted)}, false, true},
		{"store away, then broken off", []string{answer(503, OutcomeNotAccepted), answer(0, "")}, false, true},
	}
	for _, c := range cases {
		client := NewClient(c.nodes, "key")
		_, err := client.Edit(t.Context(), EditRequest{})
		assert.Equal(t, IsNotAccepted(err), c.edited, "%s: %v", c.name, err)
		_, err = client.EditOutcome(t.Context(), EditRequest{}.ID, 0)
		assert.Equal(t, IsNotAccepted(err), c.settled, "%s: %v", c.name, err)
	}
}
