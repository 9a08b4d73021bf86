package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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
	settingsText  string
	log           string

	// restarting is held while the process is ended and started again. Signals don't wait for it.
	restarting sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// ending is true once the soak has sent a signal that ends the process.
	ending bool
	// unexpectedExits counts the exits without such a signal.
	unexpectedExits int
	// logStart is the size of the log in bytes at the start of the process.
	logStart int64
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
max_age_ms = %d
[retry]
ratio = 0.5
window_s = 10
slack = 1000
[limit]
window_s = 8
[shutdown]
grace_s = 8
[log]
level = %q
`

func newProcess(t *testing.T, dir, name, centre, store string, maxKeyAge time.Duration) *process {
	p := &process{
		name: name, callerAddress: platformtest.FreeAddress(), readyAddress: platformtest.FreeAddress(), peerAddress: platformtest.FreeAddress(),
		log: filepath.Join(dir, name+".log"),
	}
	p.settings = filepath.Join(dir, name+".toml")
	p.settingsText = fmt.Sprintf(settingsText, name, centre, store, p.callerAddress, p.readyAddress, p.peerAddress, maxKeyAge.Milliseconds(), "info")
	if err := p.writeSettings("info"); err != nil {
		t.Fatal(err)
	}
	return p
}

// writeSettings replaces the settings file by one with the given log level.
func (p *process) writeSettings(level string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := strings.Replace(p.settingsText, `level = "info"`, fmt.Sprintf("level = %q", level), 1)
	if err := os.WriteFile(p.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(p.settings+".new", p.settings)
}

func (p *process) start(t *testing.T, binary string) {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(binary, "-config", p.settings)
	command.Stdout, command.Stderr = log, log
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logStart = p.logSize()
	if err := command.Start(); err != nil {
		t.Error(err)
		return
	}
	exited := make(chan struct{})
	p.command, p.exited, p.ending = command, exited, false
	go func() {
		_ = command.Wait() // a killed process returns an error
		_ = log.Close()
		p.recordExit(exited)
	}()
}

func (p *process) recordExit(exited chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ending {
		p.unexpectedExits++
	}
	close(exited)
}

// logSize returns the size of the log in bytes.
func (p *process) logSize() int64 {
	info, err := os.Stat(p.log)
	if err != nil {
		return 0
	}
	return info.Size()
}

// reload sends the process SIGHUP once it has logged something: before its first statement, SIGHUP ends any process. It returns
// false if there is nothing to send it to yet.
func (p *process) reload() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.logSize() == p.logStart {
		return false
	}
	_ = p.command.Process.Signal(syscall.SIGHUP) // fails if the process has exited
	return true
}

// signal sends a signal to the process and returns the channel that is closed when that process has exited. It has no effect
// on one that has exited already.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = p.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = p.command.Process.Signal(s)
	return p.exited
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// killAndWait kills the process and waits for its exit.
func (p *process) killAndWait() {
	<-p.signal(syscall.SIGKILL)
}
