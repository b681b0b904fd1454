// Command trial2 plays the scripts of the second review: it starts front hosts and stand-ins as
// separate processes on loopback, disturbs them and checks one rule. It exits with 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// A world holds the processes of one case and its record.
type world struct {
	// dir is a temporary folder, and programs the folder of the built programs.
	dir, programs string
	// hasTrouble is false for the same run without the disruption.
	hasTrouble bool
	began      time.Time

	mutex     sync.Mutex
	recording *os.File
	processes []*process
	nextPort  int
	store     string
}

// cannotRun is the panic value of a case that could not be set up.
type cannotRun struct{ reason string }

// must ends the case with status 2 if there is an error.
func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.recording, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// A process is a process that the case has started.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

// start starts a program; its output goes to a file of the temporary folder.
func (w *world) start(name string, arguments ...string) *process {
	output, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	p := &process{name: name, command: exec.Command(arguments[0], arguments[1:]...), ended: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = output, output
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.command.Start())
	w.mutex.Lock()
	w.processes = append(w.processes, p)
	w.mutex.Unlock()
	go func() {
		_ = p.command.Wait()
		_ = output.Close()
		close(p.ended)
	}()
	w.note("started %s as process %d", name, p.command.Process.Pid)
	return p
}

// signal sends a signal to the process unless it has ended.
func (w *world) signal(p *process, signal syscall.Signal) {
	select {
	case <-p.ended:
		w.note("%s had ended before %s", p.name, signal)
	default:
		_ = p.command.Process.Signal(signal)
		w.note("sent %s to %s", signal, p.name)
	}
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// close ends all processes.
func (w *world) close() {
	for _, p := range w.processes {
		if !p.hasEnded() {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
		}
		<-p.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

// address returns a loopback address that no process listens on.
func (w *world) address() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for range 5000 {
		w.nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", 20000+w.nextPort%12000)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	panic(cannotRun{"no free port"})
}

// await waits until the condition holds.
func await(what string, condition func() bool) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	panic(cannotRun{"waited in vain: " + what})
}

// startStore starts the stand-in of the platform's store.
func (w *world) startStore(extra ...string) {
	w.store = w.address()
	w.start("store", append([]string{filepath.Join(w.programs, "standin"), "platform", "--listen", w.store}, extra...)...)
	await("the store answers", func() bool { return w.put("/standin/faults", map[string]any{}) == nil })
}

// put sends a JSON body to the store's interface for operators and servers.
func (w *world) put(path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+w.store+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("store: status %d", answer.StatusCode)
	}
	return nil
}

// setRow writes a row of the store, or deletes it if the value is nil.
func (w *world) setRow(table, key string, value any) {
	row := map[string]any{"table": table, "key": key}
	body := map[string]any{"delete": []any{row}}
	if value != nil {
		content, err := json.Marshal(value)
		must(err)
		row["value"] = content
		body = map[string]any{"setKeys": []any{row}}
	}
	must(w.put("/standin/rows", body))
}

// callHost is the host name of all routes.
const callHost = "trial.example"

// route returns a route of the desired state.
func route(name, kind, service string, attempts, timeoutMS int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": callHost, "prefix": "/" + name + "/", "routeType": kind, "backend": service, "priority": 0,
		"maxAttempts": attempts, "resumable": resumable, "timeoutMs": timeoutMS, "targetLatencyMs": 600, "gapTargetMs": 300,
	}
}

// writeDesired writes the desired state.
func (w *world) writeDesired(version int, routes, backends []any) {
	w.setRow("op", "config", map[string]any{
		"version": version, "routes": routes, "backends": backends,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// zones has the region of each zone.
var zones = map[string]string{"muc-a": "bayern-sued", "muc-b": "bayern-sued", "fra-a": "hessen-mitte"}

// A host is a front host.
type host struct {
	*process
	name, callers, ready string
	settings             string
	descriptors          int
}

// addHost starts a front host with the limits of a small deployment. It is started again by
// startHost.
func (w *world) addHost(name, zone, store string, descriptors int) *host {
	h := &host{name: name, callers: w.address(), ready: w.address(), descriptors: descriptors}
	content, err := json.Marshal(map[string]any{
		"host-name": name, "failure-domain": zone, "regions": zones,
		"caller-address": h.callers, "ready-address": h.ready, "peer-address": w.address(), "metrics-address": w.address(),
		"platform-address": store, "memory-megabytes": 284, "link-megabits": 1000, "grace-time": "8s", "order-pause": "3000ms",
		"repeats": map[string]any{"window": "10s", "share": 0.2, "slack": 58},
	})
	must(err)
	h.settings = filepath.Join(w.dir, name+".jsonc")
	must(os.WriteFile(h.settings, content, 0o600))
	w.startHost(h)
	return h
}

// startHost starts the process of a host.
func (w *world) startHost(h *host) {
	h.process = w.start(h.name, "/bin/sh", "-c", `ulimit -n `+strconv.Itoa(h.descriptors)+` && exec "$@"`, "sh",
		filepath.Join(w.programs, "..", "persimmonmux"), "front", "--settings", h.settings)
}

// isReady reports whether the host says that it is ready.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// addService starts a server of a plain service and writes its row.
func (w *world) addService(id, service, zone string, extra ...string) *process {
	address, born := w.address(), time.Now().UnixMilli()
	p := w.start(id, append([]string{
		filepath.Join(w.programs, "standin"), "site", "--listen", address, "--id", id, "--service", service,
		"--record", filepath.Join(w.dir, id+".jsonl"), "--born", strconv.FormatInt(born, 10),
	}, extra...)...)
	await(id+" listens", func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	w.setRow("servers", id, map[string]any{"backend": service, "address": address, "zone": zone, "slots": 64, "state": "ready", "seq": 1, "born": born, "models": []any{}})
	return p
}
