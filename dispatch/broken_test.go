package dispatch_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/answer"
	"hawthornrill.example/hawthornrill/dispatch"
	"hawthornrill.example/hawthornrill/domain"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpengine"
	"hawthornrill.example/hawthornrill/endpoint/httpservice"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
	"hawthornrill.example/hawthornrill/ledger"
	"hawthornrill.example/hawthornrill/scheduler/schedulertest"
)

// Guards against a malformed answer that ends a request without a trace of what was wrong, or that counts as not sent.
func TestMalformedAnswerIsLogged(t *testing.T) {
	for name, run := range map[string]func(*dispatch.Dispatcher, *dispatch.Permit) dispatch.Result{
		"service": func(d *dispatch.Dispatcher, p *dispatch.Permit) dispatch.Result {
			request := endpoint.ServiceRequest{Method: "POST", Path: "/"}
			return d.RunService(t.Context(), p, dispatch.ServiceRun{Request: request, Buffer: answer.NewBuffer(0)})
		},
		"engine": func(d *dispatch.Dispatcher, p *dispatch.Permit) dispatch.Result {
			return d.RunEngine(t.Context(), p, dispatch.EngineRun{Body: []byte("{}"), Buffer: answer.NewBuffer(0)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := "http://" + responsetest.Serve(t, "HTTP/1.1 600 More\r\nContent-Length: 0\r\n\r\n").Address
			transport := onesend.New(onesend.Options{})
			l := schedulertest.NewHome().LedgerFor(schedulertest.NewMember("a"))
			claim, err := l.Claim(t.Context(), key, ledger.Fingerprint{})
			assert.NilError(t, err)
			permit, err := dispatch.Authorise(t.Context(), l, claim, "e")
			assert.NilError(t, err)
			var log bytes.Buffer
			d := dispatch.New(schedulertest.Endpoints{
				Engines:  map[domain.EndpointID]endpoint.Engine{"e": httpengine.New(address, transport)},
				Services: map[domain.EndpointID]endpoint.Service{"e": httpservice.New(address, transport)},
			}, dispatch.Options{ResumeWindow: 1, Log: zerolog.New(&log)})
			result := run(d, permit)
			assert.NilError(t, result.NotSent)
			assert.Equal(t, result.End.Outcome, domain.OutcomeRan)
			assert.Assert(t, strings.Contains(log.String(), "600 More") && strings.Contains(log.String(), `"endpoint":"e"`), "%s", log.String())
		})
	}
}
