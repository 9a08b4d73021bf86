package onesend

import (
	"io"
	"net/http"
)

// onceBody hides everything about a body but its reading, so that the transport
// can't take it for one that may be sent again.
type onceBody struct{ io.ReadCloser }

// emptyBody stands for no body. http.NoBody would tell the transport that the
// request is safe to repeat.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// makeUnrepeatable changes the request so that http.Transport sends it on one
// connection only.
func makeUnrepeatable(request *http.Request) {
	request.GetBody = nil
	if request.Body == nil || request.Body == http.NoBody {
		request.Body = emptyBody{}
		return
	}
	request.Body = onceBody{request.Body}
}
