package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/httpresponse"
	"hawthornrill.example/hawthornrill/platform/platformtest"
)

const (
	// clientsMemoryMB and clientsMaxFiles are the host's limits in the settings of the node that the crowds meet.
	clientsMemoryMB = 64
	clientsMaxFiles = 2000
	// crowdTime is how long a crowd stays before an ordinary request is sent beside it.
	crowdTime = 2 * time.Second
	// hangTime is the time after which something that should end counts as hanging.
	hangTime = 60 * time.Second
)

// crowdedNode is a node with little memory, a store and an endpoint.
type crowdedNode struct {
	*process
	t         *testing.T
	crowd     *crowd
	requests  atomic.Int64
	peakBytes atomic.Int64
	peakFiles atomic.Int64
	stop      chan struct{}
	stopped   chan struct{}
}

func newCrowdedNode(t *testing.T, route func(*platformtest.Route)) *crowdedNode {
	store := platformtest.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	book := platformtest.Route{
		Name: "book", Prefix: "/book/", Kind: "non_idempotent", Service: "app", MaxEndpoints: 1,
		Timeout: 20 * time.Second, FirstByte: 2 * time.Second, EventGap: time.Second,
	}
	if route != nil {
		route(&book)
	}
	store.Put("op/config", platformtest.Configuration(1, []platformtest.Route{book}, []string{"k0"}))
	endpoint := platformtest.NewEndpoint("app-0", "app", "d")
	t.Cleanup(endpoint.Close)
	endpoint.Register(store, "ready")
	p := newProcess(t, t.TempDir(), "node-0", "d", server.Listener.Addr().String(), 5*time.Second)
	host := fmt.Sprintf("memory_mb = %d\nmax_files = %d\n", clientsMemoryMB, clientsMaxFiles)
	p.settingsText = strings.Replace(p.settingsText, "memory_mb = 128\n", host, 1)
	assert.NilError(t, p.writeSettings("info"))
	n := &crowdedNode{process: p, t: t, crowd: &crowd{address: p.callerAddress}, stop: make(chan struct{}), stopped: make(chan struct{})}
	p.start(t, binary)
	t.Cleanup(p.killAndWait)
	t.Cleanup(n.crowd.leave)
	n.waitReady()
	go n.watch()
	return n
}

func (n *crowdedNode) waitReady() {
	client := &http.Client{Timeout: hangTime, Transport: httpresponse.NewTransport(&http.Transport{DisableKeepAlives: true})}
	for end := time.Now().Add(hangTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + n.readyAddress)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	n.t.Fatal("the node is not ready")
}

// watch records the most memory and descriptors that the process holds.
func (n *crowdedNode) watch() {
	defer close(n.stopped)
	for {
		select {
		case <-n.stop:
			n.measure()
			return
		case <-time.After(5 * time.Millisecond):
			n.measure()
		}
	}
}

func (n *crowdedNode) measure() {
	n.peakBytes.Store(max(n.peakBytes.Load(), n.anonymousBytes(n.t)))
	n.peakFiles.Store(max(n.peakFiles.Load(), n.openFiles()))
}

// openFiles returns the number of open descriptors of the process, 0 once it has exited.
func (n *crowdedNode) openFiles() int64 {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", n.command.Process.Pid))
	assert.Check(n.t, err)
	return int64(len(files))
}

// ordinary is a request of a caller that repeats it after a refusal, as long as that promises that it has not run.
func (n *crowdedNode) ordinary(head string, body func() io.Reader) {
	var last string
	for end := time.Now().Add(hangTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, err := n.once(head, body())
		if status == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d, %v", status, err)
	}
	n.t.Errorf("an ordinary request was not answered: %s", last)
}

// once sends a request on a connection of its own and returns the status of its response.
func (n *crowdedNode) once(head string, body io.Reader) (status int, err error) {
	conn, err := net.DialTimeout("tcp4", n.callerAddress, hangTime)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(hangTime)) // a TCP connection takes deadlines
	go func() {
		_, _ = io.Copy(conn, io.MultiReader(strings.NewReader(head), body)) // fails if the node has answered and closed
	}()
	return readStatus(conn)
}

func (n *crowdedNode) smallRequest() {
	id := int(n.requests.Add(1))
	n.ordinary(headOf(-id, "Content-Length: 4")+"\r\n", func() io.Reader { return strings.NewReader("body") })
}

// check ends the measurement and checks that the process lives and has kept its limits.
func (n *crowdedNode) check() {
	close(n.stop)
	<-n.stopped
	n.t.Logf("peak: %.1f MB, %d descriptors", float64(n.peakBytes.Load())/(1<<20), n.peakFiles.Load())
	assert.Check(n.t, n.running(), "the process has ended")
	assert.Check(n.t, n.peakBytes.Load() <= clientsMemoryMB<<20, "%d bytes of memory on a host of %d MB", n.peakBytes.Load(), clientsMemoryMB)
	assert.Check(n.t, n.peakFiles.Load() <= clientsMaxFiles, "%d descriptors, %d allowed", n.peakFiles.Load(), clientsMaxFiles)
}

// Guards against callers that make a node hold more memory than its host has, or that keep others from being served.
func TestMisbehavingClients(t *testing.T) {
	for _, form := range clientForms {
		t.Run(form.name, func(t *testing.T) {
			n := newCrowdedNode(t, nil)
			n.crowd.join(form)
			time.Sleep(crowdTime)
			n.smallRequest()
			n.check()
		})
	}
}

// joinAll lets an eighth of the clients of each form join.
func (n *crowdedNode) joinAll() {
	for _, form := range clientForms {
		form.clients /= 8
		n.crowd.join(form)
	}
	time.Sleep(crowdTime)
}

// Guards against limits of which each holds alone, but not beside the others.
func TestMisbehavingClientsOfAllForms(t *testing.T) {
	n := newCrowdedNode(t, nil)
	n.joinAll()
	n.smallRequest()
	n.check()
}

// Guards against clients that stop inside a request and thereby keep all others out for as long as a request may take.
func TestMisbehavingClientsOnAllConnections(t *testing.T) {
	n := newCrowdedNode(t, func(r *platformtest.Route) { r.Timeout = time.Hour })
	n.crowd.join(clientForm{clients: 1200, send: func(w io.Writer, i int) {
		head := platformtest.RequestHead("/book/x", fmt.Sprint("crowd-", i), "k0", time.Hour, "Content-Length: 100")
		writeTexts(w, head+"\r\n", shortOf100)
	}})
	time.Sleep(crowdTime)
	n.smallRequest()
	n.check()
}

// portForms are clients of the ports for the balancer and for other nodes.
var portForms = []clientForm{
	{name: "heads of 1 MB of short lines without an end", clients: 20, send: func(w io.Writer, i int) {
		writeTexts(w, headOf(i), distinctLines(1<<20))
	}},
	{name: "a small body one byte short", clients: 2200, send: func(w io.Writer, i int) {
		writeTexts(w, headOf(i, "Content-Length: 100")+"\r\n", shortOf100)
	}},
}

// Guards against the same clients at ports that are not meant for callers.
func TestMisbehavingClientsOfOtherPorts(t *testing.T) {
	for port, address := range map[string]func(p *process) string{
		"ready": func(p *process) string { return p.readyAddress }, "peers": func(p *process) string { return p.peerAddress },
	} {
		for _, form := range portForms {
			t.Run(port+", "+form.name, func(t *testing.T) {
				n := newCrowdedNode(t, nil)
				n.crowd.address = address(n.process)
				n.crowd.join(form)
				time.Sleep(crowdTime)
				n.smallRequest()
				n.waitReady()
				n.check()
			})
		}
	}
}

// Guards against a request whose body never ends and that is neither answered nor closed.
func TestMisbehavingClientWithStalledBodyIsAnswered(t *testing.T) {
	for _, announced := range []int{100, maxBodyBytes} {
		for _, key := range []string{"k0", "none"} {
			t.Run(fmt.Sprintf("bytes=%d,key=%s", announced, key), func(t *testing.T) {
				n := newCrowdedNode(t, func(r *platformtest.Route) { r.Timeout = time.Second })
				head := platformtest.RequestHead("/book/x", "stalled", key, 20*time.Second, fmt.Sprint("Content-Length: ", announced)) + "\r\n"
				body := io.MultiReader(io.LimitReader(endlessBody{}, int64(announced-1)), blockedReader{n.stop})
				status, err := n.once(head, body)
				assert.Check(t, err)
				want := http.StatusRequestTimeout
				if key != "k0" {
					want = http.StatusUnauthorized
				}
				assert.Check(t, status == want, "status %d", status)
				n.check()
			})
		}
	}
}

// Guards against a request inside the limits that is refused for what its head looks like.
func TestLargestLegalRequestIsServed(t *testing.T) {
	n := newCrowdedNode(t, nil)
	start := headOf(0, fmt.Sprint("Content-Length: ", maxBodyBytes))
	lines := distinctLines(maxHeadBytes - len(start) - len("\r\n"))
	status, err := n.once(start+lines+"\r\n", io.LimitReader(endlessBody{}, maxBodyBytes))
	assert.Check(t, err)
	assert.Check(t, status == http.StatusOK, "status %d", status)
	n.check()
}

// Guards against a node that can't shut down while clients stay.
func TestMisbehavingClientsAtShutdown(t *testing.T) {
	n := newCrowdedNode(t, nil)
	n.joinAll()
	n.shutDown()
}

// shutDown asks the process to shut down and waits for its exit.
func (n *crowdedNode) shutDown() {
	select {
	case <-n.signalEnd():
	case <-time.After(hangTime):
		n.t.Error("the process has not exited")
	}
	close(n.stop)
	<-n.stopped
}

// Guards against a request that has not arrived when the node exits and gets no answer.
func TestMisbehavingClientWithStalledBodyIsAnsweredAtShutdown(t *testing.T) {
	n := newCrowdedNode(t, func(r *platformtest.Route) { r.Timeout = time.Hour })
	head := platformtest.RequestHead("/book/x", "stalled", "k0", time.Hour, "Content-Length: 100") + "\r\n"
	conn, err := net.Dial("tcp4", n.callerAddress)
	assert.NilError(t, err)
	defer conn.Close()
	writeTexts(conn, head, shortOf100)
	n.smallRequest() // the node has begun to read the other one
	n.shutDown()
	status, err := readStatus(conn)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusRequestTimeout)
}
