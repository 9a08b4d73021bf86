package gateway

import (
	"io"
	"net/http"
	"strconv"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/routetable"
)

// passWhole reads the answer to its end before any of it is passed on, so that one that breaks off can be asked for
// again or reported, and never looks complete. Only an answer longer than the bound is passed on as it comes.
func (d *dispatched) passWhole(answer *exchange.Answer, head AnswerHead) step {
	t := d.task
	body, err := io.ReadAll(io.LimitReader(answer, maxWholeAnswer+1))
	if err != nil {
		return d.broken(err)
	}
	failed := answer.StatusCode >= http.StatusInternalServerError
	blamed := failed && d.blamesFailure()
	result := capacity.Result{Complete: !blamed, Unreachable: blamed}
	if failed && t.canRepeat() && t.gateway.parts.RetryBudget.Available(t.service) {
		d.release(result)
		return d.again(errEndpointFailed, false)
	}
	if !head.Signed && !failed {
		// Nobody vouches for it: it may not be the endpoint's whole answer.
		return d.broken(errUnsigned)
	}
	if !failed {
		t.gateway.parts.Quarantine.Completed(t.content)
	}
	d.deliver(answer, body)
	if len(body) > maxWholeAnswer {
		if _, err := io.Copy(t.writer, answer); err != nil {
			d.release(capacity.Result{})
			return step{done: true, abort: true, err: err}
		}
	}
	d.release(result)
	return step{done: true, status: answer.StatusCode}
}

// blamesFailure reports whether an answer that says it failed tells of the endpoint. Plain services fail some requests
// for reasons of their own.
func (d *dispatched) blamesFailure() bool { return d.task.route.Kind == routetable.Stream }

// deliver passes the head and the body on.
func (d *dispatched) deliver(answer *exchange.Answer, body []byte) {
	t := d.task
	h := t.writer.Header()
	copyHeader(h, answer.Header)
	if len(body) <= maxWholeAnswer && t.request.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	t.headSent = true
	t.writer.WriteHeader(answer.StatusCode)
	_, _ = t.writer.Write(body) // a caller that is gone reads nothing
}
