// Package harness starts the project's own program as separate processes for the cases of the review, with the platform's
// store in the driver's process.
package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	// ExitHeld means that the rule held, ExitBroken that it was broken and ExitNotRun that the case could not run.
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Main runs a case on a new cluster and returns its exit status. What the case has started ends with it, also on a signal.
func Main(recordPath string, run func(*Cluster) (int, error)) int {
	record, err := OpenRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer record.Close()
	c, err := New(record)
	if err != nil {
		record.Printf("the case can't run: %v", err)
		return ExitNotRun
	}
	defer c.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		c.Close()
		os.Exit(ExitNotRun)
	}()
	status, err := run(c)
	if err != nil {
		record.Printf("the case can't run: %v", err)
		status = ExitNotRun
	}
	record.Printf("exit status %d", status)
	return status
}

// Trouble reports whether the case applies its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the case's record of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord creates the record file.
func OpenRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf writes a line with the time since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Settings of a node, under the names of deploy/settings.toml and with the figures of the small sites.
const settings = `node = %q
data_centre = %q
store = %q

[listen]
callers = %q
ready = %q
peers = %q
operators = %q

[host]
memory_mb = 134
max_files = 4100

[keys]
strict = true
max_age_ms = 5000

[configuration]
apply_ms = 2000

[retry]
ratio = 0.2
window_s = 10
slack = 54

[limit]
window_s = 8

[log]
level = "info"

[shutdown]
grace_s = 8
`

// MemoryMB is the memory of a machine, as in the settings.
const MemoryMB = 134

// Cluster is a deployment: a store and nodes.
type Cluster struct {
	Record    *Record
	Store     *Store
	dir       string
	storeAddr string
	server    *http.Server

	mu    sync.Mutex
	nodes []*Node
}

// New starts the store on a loopback address.
func New(record *Record) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Record: record, Store: newStore(), dir: dir, storeAddr: listener.Addr().String(),
	}
	c.server = &http.Server{Handler: c.Store, ReadHeaderTimeout: time.Minute}
	c.Store.put(item{Key: wire.Store.Configuration, Value: configuration})
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// freeAddress returns a loopback address, "IP:port", whose port is free for TCP and UDP. It is below the range from which the
// kernel takes the ports of outgoing connections, on an IP number of this process.
func freeAddress() string {
	const firstPort, lastPort = 10000, 30000
	pid := os.Getpid()
	for {
		address := fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff, firstPort+rand.IntN(lastPort-firstPort))
		if isFree(address) {
			return address
		}
	}
}

func isFree(address string) bool {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp4", address)
	return err == nil && u.Close() == nil
}

// Node is a process of the project's program.
type Node struct {
	Name, Callers, Ready string
	settings             string
	log                  *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}
}

// StartNode starts a node and waits until it is ready.
func (c *Cluster) StartNode(name, zone string) (*Node, error) {
	n := &Node{
		Name: name, Callers: freeAddress(), Ready: freeAddress(), settings: filepath.Join(c.dir, name+".toml"),
	}
	text := fmt.Sprintf(settings, name, zone, c.storeAddr, n.Callers, n.Ready, freeAddress(), freeAddress())
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if n.log, err = os.Create(filepath.Join(c.dir, name+".log")); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	if err := n.Start(); err != nil {
		return nil, err
	}
	c.Record.Printf("node %s started, pid %d", name, n.PID())
	return n, n.WaitReady(10 * time.Second)
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command("target/hawthornrill-entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.SettingsVariable + "=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// PID returns the id of the process.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

// Done is closed when the process has ended.
func (n *Node) Done() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// WaitReady waits until the node answers that it is ready.
func (n *Node) WaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("node %s is not ready after %v", n.Name, timeout)
}

// IsReady asks the node as the platform's balancer does.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// MemoryMB returns the anonymous memory that the process uses, 0 if it does not run.
func (n *Node) MemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kilobytes >> 10
		}
	}
	return 0
}

// Close ends all processes and removes the temporary folder.
func (c *Cluster) Close() {
	c.mu.Lock()
	nodes := c.nodes
	c.mu.Unlock()
	for _, n := range nodes {
		if n.cmd != nil {
			n.Signal(syscall.SIGKILL)
			<-n.Done()
		}
		_ = n.log.Close()
	}
	_ = c.server.Close()
	_ = os.RemoveAll(c.dir)
}
