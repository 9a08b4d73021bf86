package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"hawthornrill.example/hawthornrill/platform/platformtest"
)

// process is an entry node that the soak runs as a child process. The soak signals no other processes.
type process struct {
	name          string
	callerAddress string
	readyAddress  string
	peerAddress   string
	settings      string
	log           string

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
	p := &process{
		name: name, callerAddress: platformtest.FreeAddress(), readyAddress: platformtest.FreeAddress(), peerAddress: platformtest.FreeAddress(),
		log: filepath.Join(dir, name+".log"),
	}
	p.settings = filepath.Join(dir, name+".toml")
	text := fmt.Sprintf(settingsText, name, centre, store, p.callerAddress, p.readyAddress, p.peerAddress)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return p
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
		_ = command.Wait() // a killed process returns an error
		_ = log.Close()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// killAndWait kills the process and waits for its exit.
func (p *process) killAndWait() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitExit reports whether the process exits within the timeout.
func (p *process) waitExit(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}
