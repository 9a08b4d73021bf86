package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"hawthornrill.example/hawthornrill/bytebudget"
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/exchange"
	"hawthornrill.example/hawthornrill/routetable"
)

var (
	errAnswerTooLong = errors.New("gateway: response exceeds the size limit")
	errAnswerEndless = errors.New("gateway: response without a length exceeds the size limit")
)

// forwardWhole reads the whole response before forwarding any of it, so that a truncated one can be retried or reported
// and never looks complete. Only one that states a length above maxBufferedBytes, or for which there is no room, is forwarded as it arrives:
// its caller sees by the length whether it is complete.
func (a *attempt) forwardWhole(response *exchange.Response, head AnswerHead) attemptResult {
	t := a.task
	failed := response.StatusCode >= http.StatusInternalServerError
	body, rest, err := a.readWhole(response)
	if err != nil {
		return a.responseLost(err)
	}
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
	a.writeWhole(response, body, rest)
	if rest {
		if _, err := io.Copy(t.writer, response); err != nil {
			a.release(capacity.Result{})
			return attemptResult{final: true, abort: true, err: err}
		}
	}
	a.release(result)
	return attemptResult{final: true, status: response.StatusCode}
}

// readWhole reads the response's body. rest is true if it is longer than what is returned. A body without a length that does not end within
// maxBufferedBytes counts as broken off: an endpoint in trouble may send bytes without end.
func (a *attempt) readWhole(response *exchange.Response) (body []byte, rest bool, err error) {
	length := response.ContentLength
	if a.task.request.Method == http.MethodHead {
		length = 0
	}
	switch {
	case length > maxAnswerBytes:
		return nil, false, fmt.Errorf("%w: %w: %d bytes", endpoint.ErrBroken, errAnswerTooLong, length)
	case length > maxBufferedBytes:
		return nil, true, nil
	}
	body, err = bytebudget.Reader{Limit: maxBufferedBytes + 1, Expected: length, Free: freeAnswerBytes}.ReadAll(response, &a.answerBytes)
	switch {
	case errors.Is(err, bytebudget.ErrNoRoom) && length >= 0:
		return body, true, nil
	case err != nil:
		return nil, false, err
	case len(body) > maxBufferedBytes:
		return nil, false, fmt.Errorf("%w: %w", endpoint.ErrBroken, errAnswerEndless)
	}
	return body, false, nil
}

// failureBlamesEndpoint reports whether a 5xx response counts as a failure of the endpoint. Plain services also fail
// some requests for reasons of their own.
func (a *attempt) failureBlamesEndpoint() bool { return a.task.route.Kind == routetable.Stream }

// writeWhole writes the response's header and the part of its body that has been read; rest is true if more follows.
func (a *attempt) writeWhole(response *exchange.Response, body []byte, rest bool) {
	t := a.task
	h := t.writer.Header()
	copyEndToEndHeader(h, response.Header)
	a.nameEndpoint(h, response)
	switch {
	case rest:
		h.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	case t.request.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	t.headSent = true
	t.writer.WriteHeader(response.StatusCode)
	_, _ = t.writer.Write(body) // fails only if the caller has disconnected
}
