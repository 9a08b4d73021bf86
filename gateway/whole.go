package gateway

import (
	"io"
	"net/http"
	"strconv"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/routetable"
)

// forwardBuffered reads the whole response before forwarding any of it, so that a truncated one can be retried or reported
// and never looks complete. Only a response longer than maxBufferedBytes is forwarded as it arrives.
func (a *attempt) forwardBuffered(response *exchange.Response, head AnswerHead) attemptResult {
	t := a.task
	body, err := io.ReadAll(io.LimitReader(response, maxBufferedBytes+1))
	if err != nil {
		return a.responseLost(err)
	}
	failed := response.StatusCode >= http.StatusInternalServerError
	blamed := failed && a.failureBlamesEndpoint()
	result := capacity.Result{Complete: !blamed, Unreachable: blamed}
	if failed && t.canRetry() && t.gateway.deps.RetryBudget.Available(t.service) {
		a.release(result)
		return a.retry(errEndpointFailed, false)
	}
	if !head.Signed && !failed {
		// Without a signature it may not be the endpoint's complete response.
		return a.responseLost(errUnsigned)
	}
	if !failed {
		t.recordSound()
	}
	a.writeBuffered(response, body)
	if len(body) > maxBufferedBytes {
		if _, err := io.Copy(t.writer, response); err != nil {
			a.release(capacity.Result{})
			return attemptResult{final: true, abort: true, err: err}
		}
	}
	a.release(result)
	return attemptResult{final: true, status: response.StatusCode}
}

// failureBlamesEndpoint reports whether a 5xx response counts as a failure of the endpoint. Plain services also fail
// some requests for reasons of their own.
func (a *attempt) failureBlamesEndpoint() bool { return a.task.route.Kind == routetable.Stream }

// writeBuffered writes the response's header and buffered body to the caller.
func (a *attempt) writeBuffered(response *exchange.Response, body []byte) {
	t := a.task
	h := t.writer.Header()
	copyEndToEndHeader(h, response.Header)
	a.nameEndpoint(h, response)
	if len(body) <= maxBufferedBytes && t.request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	t.headSent = true
	t.writer.WriteHeader(response.StatusCode)
	_, _ = t.writer.Write(body) // fails only if the caller has disconnected
}
