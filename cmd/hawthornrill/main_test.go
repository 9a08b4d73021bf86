package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// asProgram makes the test binary behave as the program.
const asProgram = "HAWTHORNRILL_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(run(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// Nothing answers at the addresses of the platform.
const testSettings = `
node = "palermo-1"
data_centre = "palermo"
peers.plain = true
platform.store = "http://127.0.0.1:1"
platform.host_list = "http://127.0.0.1:1"
listen.callers = "127.0.0.1:0"
listen.operators = "127.0.0.1:0"
listen.peers = "127.0.0.1:0"
`

// Guards against a SIGHUP that ends the process at once, with all requests in progress.
func TestHangUpDoesNotEndTheProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(testSettings), 0o600))
	program := exec.Command(os.Args[0], "-config", path)
	program.Env = append(os.Environ(), asProgram+"=1")
	stderr, err := program.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, program.Start())
	stuck := time.AfterFunc(10*time.Second, func() { _ = program.Process.Kill() })
	defer stuck.Stop()
	signalled := false
	for lines := bufio.NewScanner(stderr); lines.Scan(); {
		if !signalled {
			assert.NilError(t, program.Process.Signal(syscall.SIGHUP))
			signalled = true
		}
		if strings.Contains(lines.Text(), "settings are read at start only") {
			_ = program.Process.Kill()
			_ = program.Wait()
			return
		}
	}
	t.Fatalf("the process has ended: %v", program.Wait())
}
