package onesend

import (
	"io"
	"net/http"
)

// emptyBody replaces an absent body. With http.NoBody, http.Transport would treat the request as
// safe to retry.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// disableRetries changes the request so that http.Transport sends it on one connection only: it
// retries a request only if it can rewind the body or there is no body.
func disableRetries(request *http.Request) {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		request.Body = emptyBody{}
	}
}
