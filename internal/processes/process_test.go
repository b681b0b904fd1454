//go:build processes && linux

package processes_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// maxWait bounds each wait for a condition. It is long because the machine may be
// busy; a test fails when a wait reaches it.
const maxWait = 40 * time.Second

// A process is a child process of a deployment. It is killed when its test ends.
type process struct {
	name    string
	command *exec.Cmd
	logPath string
	// ended is closed after the process has ended and exitError has been set.
	ended     chan struct{}
	exitError error
}

// startProgram starts a program that TestMain has built.
func startProgram(t *testing.T, directory, name, program string, arguments ...string) *process {
	t.Helper()
	command := exec.Command(filepath.Join(programDirectory, program), arguments...)
	return startProcess(t, directory, name, command, program == "persimmonmux")
}

// startRelayedHost starts this test binary as an entry host that advertises the
// address of its relay; see serveRelayed.
func startRelayedHost(t *testing.T, directory, name, advertised string, arguments ...string) *process {
	t.Helper()
	command := exec.Command(os.Args[0], arguments...)
	command.Env = append(os.Environ(), advertisedAddressVariable+"="+advertised)
	return startProcess(t, directory, name, command, true)
}

// startProcess starts a process that writes its log into the directory. If
// printLog is set, the end of the log is printed when the test fails.
func startProcess(t *testing.T, directory, name string, command *exec.Cmd, printLog bool) *process {
	t.Helper()
	p := &process{name: name, command: command, logPath: filepath.Join(directory, name+".log"), ended: make(chan struct{})}
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(t, err, qt.IsNil)
	p.command.Stdout, p.command.Stderr = output, output
	// Kills the process also when the test binary itself is killed at its time limit.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	qt.Assert(t, p.command.Start(), qt.IsNil)
	go func() {
		p.exitError = p.command.Wait()
		_ = output.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() && printLog {
			t.Logf("log of %s:\n%s", p.name, p.logTail())
		}
	})
	return p
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// kill sends SIGKILL and waits until the process has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop sends SIGTERM and checks that the process ends without an error.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	p.awaitEnd(t)
}

// awaitEnd waits until the process ends after a SIGTERM, and checks that it ends
// without an error.
func (p *process) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		qt.Check(t, p.exitError, qt.IsNil, qt.Commentf("end of %s", p.name))
	case <-time.After(maxWait):
		t.Errorf("%s did not end after SIGTERM", p.name)
	}
}

// freeze sends SIGSTOP and waits until the kernel reports the process as stopped.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	await(t, p.name+" is frozen", func() bool {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
		return err == nil && bytes.Contains(status, []byte("State:\tT"))
	})
}

// resume lets a frozen process continue.
func (p *process) resume() {
	p.signal(syscall.SIGCONT)
}

// logTail returns the last 25 lines of the log.
func (p *process) logTail() string {
	const lines = 25
	content, _ := os.ReadFile(p.logPath)
	all := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// await waits until the condition holds. It fails the test after maxWait.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("gave up waiting: %s", what)
}

// lastPort is the last port that freeAddress returned. Its ports lie below those
// that the kernel assigns to outgoing connections, so that no connection takes a
// port before a process listens on it.
var lastPort atomic.Int32

// freeAddress returns a loopback address that no process listens on. It returns
// no address twice.
func freeAddress(t *testing.T) string {
	t.Helper()
	lastPort.CompareAndSwap(0, int32(15000+os.Getpid()%8000))
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatal("no free port")
	return ""
}
