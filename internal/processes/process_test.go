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

// maxWait bounds each wait for a condition. It is generous, because the machine
// may be busy; no test passes because of it.
const maxWait = 40 * time.Second

// A process is one process of a deployment. It is ended at the end of its test.
type process struct {
	name    string
	command *exec.Cmd
	log     string
	// ended is closed when the process has ended; failure is set before.
	ended   chan struct{}
	failure error
}

// start runs a program of TestMain.
func start(t *testing.T, directory, name, program string, arguments ...string) *process {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, program), arguments...)
	return run(t, directory, name, command, program == "persimmonmux")
}

// startRelayedHost runs an entry host behind a relay; see serveRelayed.
func startRelayedHost(t *testing.T, directory, name, told string, arguments ...string) *process {
	t.Helper()
	command := exec.Command(os.Args[0], arguments...)
	command.Env = append(os.Environ(), toldAddressVariable+"="+told)
	return run(t, directory, name, command, true)
}

// run starts a process. Its log is printed when the test fails and logged is set.
func run(t *testing.T, directory, name string, command *exec.Cmd, logged bool) *process {
	t.Helper()
	p := &process{name: name, command: command, log: filepath.Join(directory, name+".log"), ended: make(chan struct{})}
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(t, err, qt.IsNil)
	p.command.Stdout, p.command.Stderr = output, output
	// Ends the process also when the test binary is killed at its time limit.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	qt.Assert(t, p.command.Start(), qt.IsNil)
	go func() {
		p.failure = p.command.Wait()
		_ = output.Close()
		close(p.ended)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() && logged {
			t.Logf("log of %s:\n%s", p.name, p.tail())
		}
	})
	return p
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop asks the process to end and waits until it has ended without an error.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	p.awaitEnd(t)
}

// awaitEnd waits until the process, which was asked to end, has ended without an
// error.
func (p *process) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		qt.Check(t, p.failure, qt.IsNil, qt.Commentf("end of %s", p.name))
	case <-time.After(maxWait):
		t.Errorf("%s did not end after SIGTERM", p.name)
	}
}

// freeze stops the process without ending it, and waits until it is stopped.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(syscall.SIGSTOP)
	await(t, p.name+" is frozen", func() bool {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
		return err == nil && bytes.Contains(status, []byte("State:\tT"))
	})
}

// wake lets a frozen process go on.
func (p *process) wake() {
	p.signal(syscall.SIGCONT)
}

// tail returns the last lines of the log.
func (p *process) tail() string {
	const lines = 25
	content, _ := os.ReadFile(p.log)
	all := strings.Split(strings.TrimSpace(string(content)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

// await waits for a condition.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("gave up waiting: %s", what)
}

// lastPort is the port given out last. The range lies below the ports that the
// kernel gives to outgoing connections, so that a port stays free until its use.
var lastPort atomic.Int32

// freeAddress returns a loopback address that nothing listens on. Each address
// is given out once.
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
