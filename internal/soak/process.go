package main

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// endTimeout bounds the wait for a process to end after a signal. The grace time of
// front hosts is shorter.
const endTimeout = 12 * time.Second

// A process is a child process of the deployment. It can be started again after it
// has ended.
type process struct {
	name      string
	program   string
	arguments []string
	logPath   string

	// faultMutex is held while a fault stops or pauses the process, so that no other
	// fault does so meanwhile.
	faultMutex sync.Mutex

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// start starts the process, which must not be running.
func (p *process) start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(p.program, p.arguments...)
	p.command.Stdout, p.command.Stderr = output, output
	// Kills the process also when the soak command itself is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		_ = output.Close()
		return err
	}
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process unless it has ended.
func (p *process) signal(signal syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(signal)
	}
}

// end sends a signal and waits until the process has ended. It reports whether the
// process ended within endTimeout; if not, it kills the process.
func (p *process) end(signal syscall.Signal) bool {
	p.signal(signal)
	p.mutex.Lock()
	ended := p.ended
	p.mutex.Unlock()
	timer := time.NewTimer(endTimeout)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		p.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}
