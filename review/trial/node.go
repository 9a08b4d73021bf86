package trial

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the project's own program, as the deploy file builds and starts it.
const program = "target/hawthornrill-entry"

// Node is one process of the project.
type Node struct {
	Name, Zone string
	// Callers, Ready, Peers and Operators are its addresses, "IP:port".
	Callers, Ready, Peers, Operators string

	// MemoryMB is what the machine has, in MB.
	MemoryMB int

	dir      string
	settings string
	process  *exec.Cmd
	ended    chan struct{}
	record   *Record
}

// settingsFormat is deploy/settings.toml with the figures of a small installation filled in.
const settingsFormat = `node = %q
data_centre = %q
store = %q

[listen]
callers = %q
ready = %q
peers = %q
operators = %q

[host]
memory_mb = %d
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

// NewNode prepares a node that is not started yet, on a machine with that much memory. Its files are kept in dir.
func NewNode(record *Record, dir, name, zone, store string, memoryMB int) (*Node, error) {
	n := &Node{Name: name, Zone: zone, MemoryMB: memoryMB, dir: dir, record: record, settings: filepath.Join(dir, name+".toml")}
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	n.Callers, n.Ready, n.Peers, n.Operators = addresses[0], addresses[1], addresses[2], addresses[3]
	text := fmt.Sprintf(settingsFormat, name, zone, store, n.Callers, n.Ready, n.Peers, n.Operators, memoryMB)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

// firstPort is the first port of a node's addresses, below those that the kernel gives to outgoing channels.
const firstPort = 8200

// freeAddresses returns addresses of a loopback host that nobody listens on.
func freeAddresses(count int) ([]string, error) {
	const tries = 100
	for range tries {
		host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
		if addresses, ok := listenable(host, count); ok {
			return addresses, nil
		}
	}
	return nil, errors.New("trial: no free addresses")
}

// listenable returns addresses of the host, false if one is in use.
func listenable(host string, count int) ([]string, bool) {
	var addresses []string
	for i := range count {
		address := fmt.Sprintf("%s:%d", host, firstPort+i)
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, false
		}
		_ = listener.Close() // it has accepted nothing
		addresses = append(addresses, address)
	}
	return addresses, true
}

// Start starts the process.
func (n *Node) Start() error {
	log, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(program)
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire.SettingsVariable + "=" + n.settings}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	process := n.process
	go func() {
		_ = process.Wait() // how it ended is not of interest
		close(ended)
	}()
	n.record.Line("node %s started, process %d", n.Name, n.process.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.record.Line("node %s gets %v", n.Name, s)
	_ = n.process.Process.Signal(s) // fails only if it has ended
}

// Kill ends the process at once.
func (n *Node) Kill() {
	if n.process == nil {
		return
	}
	n.Signal(syscall.SIGKILL)
	<-n.ended
}

// IsReady reports whether the node says that it is ready.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.Ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ErrNotReady means that a node was not ready in time.
var ErrNotReady = errors.New("trial: node not ready in time")

// WaitReady waits until the node is ready.
func (n *Node) WaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.IsReady() {
			return nil
		}
	}
	return fmt.Errorf("%w: %s", ErrNotReady, n.Name)
}
