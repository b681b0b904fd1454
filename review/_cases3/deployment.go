package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The names of the desired state that the cases write.
const (
	callHost     = "cases.example"
	engineName   = "sprachmodelle"
	bookingName  = "belegung"
	baseModel    = "m0"
	firstVersion = 10
)

// regions has the region of each failure domain.
var regions = map[string]string{"muc-a": "bayern-sued", "muc-b": "bayern-sued", "fra-a": "hessen-mitte"}

// zones lists the failure domains in a fixed order.
var zones = []string{"muc-a", "muc-b", "fra-a"}

// A process is a child process of a case.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

// A deployment is a small deployment on loopback addresses: a platform, backend servers and front
// hosts, each a process of its own.
type deployment struct {
	directory string
	programs  string
	store     string
	processes []*process
	hosts     []*host
	servers   []*server
	// mutex guards processes where engines are started beside each other.
	mutex sync.Mutex
}

// A host is a front host.
type host struct {
	*process
	name, zone, callers, ready, settings string
}

// A server is a stand-in backend server of the project.
type server struct {
	*process
	id, service, zone, address, record string
	born                               int64
	sequence                           int
	adapters                           []string
}

// lastPort is the last port that freeAddress returned. Ports are below those that the kernel gives to
// outgoing connections.
var lastPort atomic.Int32

func init() { lastPort.Store(int32(12000 + os.Getpid()%9000)) }

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	for range 2000 {
		address := fmt.Sprintf("127.0.0.1:%d", lastPort.Add(1))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	abandon("no free port")
	return ""
}

// start starts a program whose output goes to a file in the temporary folder.
func (d *deployment) start(name, program string, arguments ...string) *process {
	log, err := os.OpenFile(filepath.Join(d.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		abandon("log of %s: %v", name, err)
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		abandon("start %s: %v", name, err)
	}
	p := &process{name: name, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.processes = append(d.processes, p)
	return p
}

// signal sends a signal to the process unless it has ended.
func (p *process) signal(signal syscall.Signal) {
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(signal)
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

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// close ends all processes of the deployment and removes its folder.
func (d *deployment) close() {
	for _, p := range d.processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	}
}

// startPlatform starts the project's stand-in for the platform.
func (d *deployment) startPlatform() {
	d.store = freeAddress()
	d.start("platform", filepath.Join(d.programs, "review-3", "standin"), "platform", "--listen", d.store,
		"--writes-per-second", "400", "--reads-per-second", "2000")
	d.await("platform", func() bool { return d.putRows(nil) == nil })
}

// put sends a body as JSON to one of the test paths of the stand-in platform.
func (d *deployment) put(path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+d.store+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("platform: status %d", answer.StatusCode)
	}
	return nil
}

// A row is one row of the platform's store.
type row struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// putRows writes rows as the operator and the backend servers do.
func (d *deployment) putRows(rows []row) error {
	return d.put("/standin/rows", map[string]any{"setKeys": rows})
}

// setRow writes one row with a value in JSON.
func (d *deployment) setRow(table, key string, value any) {
	content, err := json.Marshal(value)
	if err == nil {
		err = d.putRows([]row{{Table: table, Key: key, Value: content}})
	}
	if err != nil {
		abandon("row %s/%s: %v", table, key, err)
	}
}

// deleteRow deletes one row.
func (d *deployment) deleteRow(table, key string) {
	if err := d.put("/standin/rows", map[string]any{"delete": []row{{Table: table, Key: key}}}); err != nil {
		note("row %s/%s was not deleted: %v", table, key, err)
	}
}

// route returns a route of the desired state.
func route(prefix, kind, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": prefix, "hostname": callHost, "prefix": "/" + prefix + "/", "routeType": kind, "backend": service, "priority": 1,
		"maxAttempts": attempts, "resumable": resumable, "timeoutMs": 12000, "targetLatencyMs": 600, "gapTargetMs": 300,
	}
}

// setDesiredState writes a desired state.
func (d *deployment) setDesiredState(version int, routes ...any) {
	d.setRow("op", "config", map[string]any{
		"version": version, "routes": routes,
		"backends": []any{
			map[string]any{"name": engineName, "healthPath": "/healthz", "maxConns": 370, "engine": map[string]any{
				"slots": 8, "kvCacheTokens": 100000, "weightsMb": 80000, "adapterSlots": 6, "loadsPerS": 3,
				"models": []any{map[string]any{"name": baseModel, "weightsMb": 70000, "loadTimeS": 0.4, "adapters": adapterCount, "adapterMb": 60}},
			}},
			map[string]any{"name": bookingName, "healthPath": "/healthz", "maxConns": 110},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
}

// addServer starts a stand-in backend server and announces it.
func (d *deployment) addServer(id, service, zone string, arguments ...string) {
	s := &server{id: id, service: service, zone: zone, address: freeAddress(), record: filepath.Join(d.directory, id+".jsonl"), born: time.Now().UnixMilli()}
	arguments = append([]string{
		"site", "--listen", s.address, "--id", id, "--service", service, "--record", s.record, "--born", strconv.FormatInt(s.born, 10), "--slots", "64",
	}, arguments...)
	if service == engineName {
		arguments = append(arguments, "--model", baseModel)
	}
	s.process = d.start(id, filepath.Join(d.programs, "review-3", "standin"), arguments...)
	if service == engineName {
		s.address = startStrictEngine(s.address)
	}
	d.servers = append(d.servers, s)
	d.announce(s, "ready")
}

// announce writes the row of a backend server.
func (d *deployment) announce(s *server, state string) {
	s.sequence++
	value := map[string]any{"backend": s.service, "address": s.address, "zone": s.zone, "version": "1", "slots": 64, "state": state, "seq": s.sequence, "born": s.born, "coldRemainingMs": 0}
	if s.service == engineName {
		value["models"] = []any{map[string]any{"name": baseModel, "version": 1, "adapters": append([]string{}, s.adapters...)}}
	}
	d.setRow("servers", s.id, value)
}

// addHost starts a front host with the command of the deploy file.
func (d *deployment) addHost(name, zone string) *host {
	h := &host{name: name, zone: zone, callers: freeAddress(), ready: freeAddress(), settings: filepath.Join(d.directory, name+".jsonc")}
	content, err := json.Marshal(map[string]any{
		"host-name": name, "failure-domain": zone, "regions": regions,
		"caller-address": h.callers, "ready-address": h.ready, "peer-address": freeAddress(), "metrics-address": freeAddress(),
		"platform-address": d.store, "memory-megabytes": 284, "link-megabits": 1000, "grace-time": "8s", "order-pause": "3000ms",
		"repeats": map[string]any{"window": "10s", "share": 0.2, "slack": 58},
	})
	if err == nil {
		err = os.WriteFile(h.settings, content, 0o600)
	}
	if err != nil {
		abandon("settings of %s: %v", name, err)
	}
	d.hosts = append(d.hosts, h)
	h.start(d)
	return h
}

// start starts the process of a front host.
func (h *host) start(d *deployment) {
	h.process = d.start(h.name, filepath.Join(d.programs, "persimmonmux"), "front", "--settings", h.settings)
}

// isReady reports whether the check of the load balancer succeeds.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// awaitHosts waits until all front hosts are ready.
func (d *deployment) awaitHosts() {
	for _, h := range d.hosts {
		d.await(h.name, h.isReady)
	}
}

// await waits until a condition holds. A case cannot run if it does not within 20 s.
func (d *deployment) await(what string, condition func() bool) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	abandon("%s is not ready in time", what)
}
