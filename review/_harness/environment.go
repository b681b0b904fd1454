package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The bounds of the installations on which the scripts are based.
const (
	drainTime = 2500 * time.Millisecond
	touchTime = 4 * time.Second
)

// An environment holds the processes, listeners and the record of one play.
type environment struct {
	// trouble is false if the disruption is left out.
	trouble   bool
	directory string
	started   time.Time

	mutex  sync.Mutex
	record *os.File
	hosts  []*host
	closes []func()
}

func newEnvironment(record string) (*environment, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	e := &environment{trouble: os.Getenv("TROUBLE") != "0", directory: directory, started: time.Now(), record: file}
	e.note("trouble=%t", e.trouble)
	return e, nil
}

// note appends a line with the time since the start to the record.
func (e *environment) note(format string, values ...any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	fmt.Fprintf(e.record, "%8.3f %s\n", time.Since(e.started).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and listeners.
func (e *environment) close() {
	for _, h := range e.hosts {
		h.kill()
	}
	for _, f := range e.closes {
		f()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.directory)
	} else {
		fmt.Println("logs:", e.directory)
	}
}

// The ports of hosts lie below those that the kernel gives to outgoing connections, so that a
// host that is started again finds its ports free.
const (
	firstPort = 12000
	portCount = 18000
)

// nextPort is the port, less firstPort, that freeAddress tries next.
var nextPort = rand.IntN(portCount)

// freeAddress returns a loopback address on which no process listens.
func freeAddress() (string, error) {
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err == nil {
			return listener.Addr().String(), listener.Close()
		}
	}
	return "", errors.New("no free port on loopback")
}

// serve serves HTTP on a free loopback address until the environment closes.
func (e *environment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	e.closes = append(e.closes, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// A host is the process of a front host.
type host struct {
	environment          *environment
	name, zone, settings string
	caller, ready, peer  string
	command              *exec.Cmd
	ended                chan struct{}
}

var zoneRegions = map[string]string{"muc-a": "bayern-sued", "muc-b": "bayern-sued", "fra-a": "hessen-mitte"}

// addHost starts a front host whose store has the address.
func (e *environment) addHost(name, zone, store string) (*host, error) {
	h := &host{environment: e, name: name, zone: zone}
	for _, address := range []*string{&h.caller, &h.ready, &h.peer} {
		var err error
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	settings, err := json.Marshal(map[string]any{
		"host-name": name, "failure-domain": zone, "regions": zoneRegions,
		"caller-address": h.caller, "ready-address": h.ready, "peer-address": h.peer,
		"platform-address": store, "memory-megabytes": 284, "link-megabits": 1000,
		"grace-time": "8s", "order-pause": "3000ms",
		"repeats": map[string]any{"window": "10s", "share": 0.2, "slack": 58},
	})
	if err != nil {
		return nil, err
	}
	h.settings = filepath.Join(e.directory, name+".json")
	if err := os.WriteFile(h.settings, settings, 0o600); err != nil {
		return nil, err
	}
	e.hosts = append(e.hosts, h)
	return h, h.start()
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.environment.directory, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.command = exec.Command("target/persimmonmux", "front", "--settings", h.settings)
	h.command.Stdout, h.command.Stderr = log, log
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	command, ended := h.command, make(chan struct{})
	h.ended = ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.environment.note("signal %s to %s", s, h.name)
	_ = h.command.Process.Signal(s)
}

// kill kills the process and waits until it has ended.
func (h *host) kill() {
	if h.command == nil || h.command.Process == nil {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGCONT)
	_ = h.command.Process.Kill()
	<-h.ended
}

// isReady reports whether /readyz answers with status 200.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (e *environment) awaitReady() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, h := range e.hosts {
			ready = ready && h.isReady()
		}
		if ready {
			return nil
		}
	}
	return errors.New("the hosts are not ready in time")
}
