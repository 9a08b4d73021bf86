package onesend

import (
	"io"
	"net/http"
)

// emptyBody stands for no body. http.NoBody would tell the transport that the
// request is safe to repeat.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// makeUnrepeatable changes the request so that http.Transport sends it on one
// connection only: it repeats a request only if it can get the body anew, or if
// there is none.
func makeUnrepeatable(request *http.Request) {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		request.Body = emptyBody{}
	}
}
