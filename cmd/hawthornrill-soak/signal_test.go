package soak

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a SIGHUP that ends a process which is still reading its settings.
func TestReloadWhileStartingDoesNotEndTheProcess(t *testing.T) {
	n := newProcess(t, t.TempDir(), "node-0", "dc-0", "127.0.0.1:1", maxRevocationDelay)
	text, err := os.ReadFile(n.settings)
	assert.NilError(t, err)
	// The process waits in its first read of the settings until the test writes to the pipe.
	pipe := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, syscall.Mkfifo(pipe, 0o600))
	n.settings = pipe
	n.start(t, binary)
	t.Cleanup(n.killAndWait)
	var settings *os.File
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		// Opening fails as long as the process has not opened the other end.
		if settings, err = os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0); err != nil {
			return poll.Continue("the process does not read its settings: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	n.signal(syscall.SIGHUP)
	_, err = settings.Write(text)
	assert.NilError(t, err)
	assert.NilError(t, settings.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !n.running() {
			return poll.Error(errors.New("the process has exited"))
		}
		log, err := os.ReadFile(n.log)
		if err != nil || len(log) == 0 {
			return poll.Continue("nothing logged")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
}
