package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse"
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
		if err == nil {
			err = httpresponse.Check(response)
		}
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

// anonymousBytes returns the anonymous resident memory of the process, 0 if it does not run.
func (p *process) anonymousBytes(t *testing.T) int64 {
	p.mu.Lock()
	pid := p.command.Process.Pid
	p.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "RssAnon:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	assert.Check(t, err)
	return kilobytes << 10
}
