package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
)

// endlessBody is a reader without an end.
type endlessBody struct{}

// Read implements io.Reader.
func (endlessBody) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// blockedReader returns nothing until the channel is closed.
type blockedReader struct{ until <-chan struct{} }

// Read implements io.Reader.
func (r blockedReader) Read([]byte) (int, error) {
	<-r.until
	return 0, io.EOF
}

// readStatus reads a final response and returns its status.
func readStatus(conn net.Conn) (int, error) {
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, err
	}
}

// signalEnd asks the process to shut down and returns the channel that is closed when it has exited.
func (p *process) signalEnd() <-chan struct{} { return p.signal(syscall.SIGTERM) }
