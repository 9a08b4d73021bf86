package httpservice_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/endpoint"
	"hawthornrill.example/hawthornrill/endpoint/httpservice"
	"hawthornrill.example/hawthornrill/endpoint/onesend"
	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/httpresponse/responsetest"
)

func newClient(t *testing.T, handler http.HandlerFunc) *httpservice.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	transport := onesend.New(onesend.Options{})
	t.Cleanup(transport.CloseIdleConnections)
	return httpservice.New(server.URL, transport)
}

func TestCallPassesEverythingButHopByHop(t *testing.T) {
	var got *http.Request
	var body []byte
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("Location", "/elsewhere")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.WriteHeader(http.StatusFound)
		_, _ = w.Write([]byte("moved"))
	})
	response, err := client.Call(t.Context(), endpoint.ServiceRequest{
		Key:    "k",
		Method: "PATCH",
		Path:   "/jobs/a%2Fb?x=1",
		Header: http.Header{
			"X-Own": {"a", "b"}, "Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"},
			"Idempotency-Key": {"i"}, "Accept-Encoding": {"gzip"}, "X-Request-Key": {"forged"},
		},
		Body:   strings.NewReader("payload"),
		Length: 7,
	})
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.Status, http.StatusFound)
	assert.Equal(t, response.Header.Get("Location"), "/elsewhere")
	assert.Equal(t, response.Header.Get("Keep-Alive"), "")
	assert.Equal(t, string(body), "payload")
	assert.Equal(t, got.Method+" "+got.RequestURI, "PATCH /jobs/a%2Fb?x=1")
	assert.Equal(t, got.ContentLength, int64(7))
	assert.DeepEqual(t, got.Header, http.Header{
		"X-Own": {"a", "b"}, "Idempotency-Key": {"i"}, "Accept-Encoding": {"gzip"},
		"X-Request-Key": {"k"}, "Content-Length": {"7"},
	})
}

func TestBodiesStreamBothWays(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		_ = control.Flush()
		buffer := make([]byte, 16)
		for {
			n, err := r.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = control.Flush()
			if err != nil {
				return
			}
		}
	})
	reader, writer := io.Pipe()
	response, err := call(t, client, "POST", reader)
	assert.NilError(t, err)
	defer response.Body.Close()
	buffer := make([]byte, 3)
	for _, part := range []string{"one", "two"} {
		_, err = io.WriteString(writer, part)
		assert.NilError(t, err)
		_, err = io.ReadFull(response.Body, buffer)
		assert.NilError(t, err)
		assert.Equal(t, string(buffer), part)
	}
	assert.NilError(t, writer.Close())
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
}

func call(t *testing.T, client *httpservice.Client, method string, body io.Reader) (endpoint.ServiceResponse, error) {
	t.Helper()
	return client.Call(t.Context(), endpoint.ServiceRequest{Key: "k", Method: method, Path: "/", Body: body, Length: -1})
}

func TestBrokenBody(t *testing.T) {
	client := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write(bytes.Repeat([]byte("x"), 10))
	})
	response, err := call(t, client, "GET", nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, endpoint.ErrBroken)
}

func TestDispatchErrors(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	client := httpservice.New(server.URL, onesend.New(onesend.Options{}))
	_, err := call(t, client, "GET", nil)
	assert.ErrorIs(t, err, endpoint.ErrBroken)
	server.Close()
	_, err = call(t, client, "GET", nil)
	assert.ErrorIs(t, err, endpoint.ErrNotDispatched)
	_, err = call(t, client, "BAD METHOD", nil)
	assert.ErrorIs(t, err, endpoint.ErrNotDispatched)
}

// Guards against malformed responses, and parts of responses to requests that were not sent whole, coming as answers of a service.
func TestBrokenResponseIsNoAnswer(t *testing.T) {
	transport := onesend.New(onesend.Options{})
	for _, form := range responsetest.Malformed("") {
		t.Run(form.Name, func(t *testing.T) {
			client := httpservice.New("http://"+responsetest.Serve(t, form.Text).Address, transport)
			response, err := call(t, client, "POST", strings.NewReader("payload"))
			if err == nil {
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			assert.ErrorIs(t, err, endpoint.ErrBroken)
			assert.Assert(t, form.ByNetHTTP || errors.Is(err, httpresponse.ErrMalformed), "%v", err)
			assert.Assert(t, !errors.Is(err, endpoint.ErrNotDispatched))
		})
	}
}
