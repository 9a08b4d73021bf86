package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is an entry node as a process that the soak started; only such are ever signalled.
type process struct {
	name     string
	callers  string
	ready    string
	settings string
	log      string

	command *exec.Cmd
	exited  chan struct{}
}

const settingsText = `node = %q
data_centre = %q
store = %q
[listen]
callers = %q
ready = %q
peers = %q
[host]
memory_mb = 128
[keys]
strict = true
max_age_ms = 5000
[retry]
ratio = 0.5
window_s = 10
slack = 1000
[limit]
window_s = 8
[shutdown]
grace_s = 8
`

func newProcess(t *testing.T, dir, name, centre, store string) *process {
	p := &process{name: name, callers: freePort(t), ready: freePort(t), log: filepath.Join(dir, name+".log")}
	p.settings = filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(settingsText, name, centre, store, p.callers, p.ready, freePort(t))
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
}

// givenPorts are the addresses that freePort has returned, so that no two nodes get the same.
var givenPorts sync.Map

// freePort returns an address on loopback that is free for TCP and UDP. It lies below the ports that the kernel gives to
// connections, one of which could take it before the node does.
func freePort(t *testing.T) string {
	for {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000)))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp4", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		if _, given := givenPorts.LoadOrStore(address, true); !given {
			return address
		}
	}
}

func (p *process) start(t *testing.T, binary string) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.Command(binary, "-config", p.settings)
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	p.exited = exited
	command := p.command
	go func() {
		_ = command.Wait() // killed ones end with an error
		_ = log.Close()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// end kills the process and waits.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// ended waits for the process's own end.
func (p *process) ended(within time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(within):
		return false
	}
}
