package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/standin/relay"
)

// The names that the operator of the soak uses.
const (
	model     = "m0"
	engines   = "sprachmodelle"
	bookings  = "belegung"
	other     = "auskunft"
	callHost  = "soak.example"
	adapters  = 20
	module    = "github.com/persimmonmux/persimmonmux"
	zoneCount = 3
)

// zones are the failure domains with their regions.
var zones = map[string]string{"muc-a": "bayern-sued", "muc-b": "bayern-sued", "fra-a": "hessen-mitte"}

// zoneNames are the failure domains in a fixed order.
var zoneNames = [zoneCount]string{"muc-a", "muc-b", "fra-a"}

// A host is a front host behind its own way to the platform.
type host struct {
	process
	zone     string
	callers  string
	ready    string
	platform *relay.Relay
}

// A server is a stand-in server behind a relay.
type server struct {
	process
	id, service, zone string
	// address is where the process listens, behind the relay.
	address string
	record  string
	relay   *relay.Relay

	mutex sync.Mutex
	// generation counts the rows of the server, born is the start of its process in
	// Unix milliseconds, and empty says that it began without its base model.
	generation int
	born       int64
	empty      bool
}

// A deployment is all that one run starts.
type deployment struct {
	directory string
	programs  string
	nextPort  int
	platform  process
	address   string
	hosts     []*host
	servers   []*server

	mutex sync.Mutex
	// version is that of the desired state, and booking the service that bookings
	// and lookups go to.
	version  int
	booking  string
	versions map[string]int
}

// build compiles the programs under test once.
func build(directory string) error {
	for name, path := range map[string]string{"persimmonmux": module, "standin": module + "/standin"} {
		command := exec.Command("go", "build", "-o", filepath.Join(directory, name), path)
		if output, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", path, err, output)
		}
	}
	return nil
}

// port returns a free address of loopback below the kernel's own range.
func (d *deployment) port() (string, error) {
	for range 2000 {
		d.nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", d.nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, listener.Close()
	}
	return "", errors.New("no free port on loopback")
}

// relayed returns a relay to a target.
func (d *deployment) relayed(target string) (*relay.Relay, error) {
	address, err := d.port()
	if err != nil {
		return nil, err
	}
	return relay.Listen(address, target)
}

func (d *deployment) newProcess(name, program string, arguments ...string) process {
	return process{
		name:      name,
		program:   filepath.Join(d.programs, program),
		arguments: arguments,
		log:       filepath.Join(d.directory, name+".log"),
	}
}

// start starts the platform, the servers and the hosts.
func (d *deployment) start(size size) error {
	d.booking, d.versions = bookings, make(map[string]int)
	var err error
	if d.address, err = d.port(); err != nil {
		return err
	}
	d.platform = d.newProcess("platform", "standin", "platform", "--listen", d.address)
	if err := d.platform.start(); err != nil {
		return err
	}
	if err := d.await(func() bool { return d.change() == nil }); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	for i := range zoneCount * size.Engines {
		if err := d.addServer(fmt.Sprintf("engine-%d", i), engines, zoneNames[i%zoneCount]); err != nil {
			return err
		}
	}
	for i := range zoneCount * size.Services {
		service := []string{bookings, other}[i%2]
		if err := d.addServer(fmt.Sprintf("%s-%d", service, i), service, zoneNames[i%zoneCount]); err != nil {
			return err
		}
	}
	for i := range zoneCount * size.Hosts {
		if err := d.addHost(fmt.Sprintf("host-%d", i), zoneNames[i%zoneCount]); err != nil {
			return err
		}
	}
	return d.await(func() bool {
		for _, h := range d.hosts {
			if !h.isReady() {
				return false
			}
		}
		return true
	})
}

// startLimit bounds the start of a deployment.
const startLimit = 30 * time.Second

func (d *deployment) await(holds func() bool) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New("the deployment did not start in time")
}

func (d *deployment) addServer(id, service, zone string) error {
	address, err := d.port()
	if err != nil {
		return err
	}
	s := &server{id: id, service: service, zone: zone, record: filepath.Join(d.directory, id+".jsonl")}
	s.process = d.newProcess(id, "standin")
	s.address = address
	if s.relay, err = d.relayed(address); err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return d.launch(s)
}

// launch starts the process of a server and announces it.
func (d *deployment) launch(s *server) error {
	s.mutex.Lock()
	s.born = time.Now().UnixMilli()
	s.arguments = []string{
		"site", "--listen", s.address, "--id", s.id, "--service", s.service, "--record", s.record, "--born", strconv.FormatInt(s.born, 10),
		"--events", strconv.Itoa(events),
	}
	if s.service == engines {
		s.arguments = append(s.arguments, "--model", model)
	}
	if s.empty {
		s.arguments = append(s.arguments, "--empty")
	}
	s.mutex.Unlock()
	if err := s.start(); err != nil {
		return err
	}
	return d.announce(s, "ready")
}

func (d *deployment) addHost(name, zone string) error {
	var addresses [4]string
	for i := range addresses {
		address, err := d.port()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	way, err := d.relayed(d.address)
	if err != nil {
		return err
	}
	content, err := json.Marshal(map[string]any{
		"host-name": name, "failure-domain": zone, "regions": zones,
		"caller-address": addresses[0], "ready-address": addresses[1], "peer-address": addresses[2], "metrics-address": addresses[3],
		"platform-address": way.Address,
		"repeats":          map[string]any{"window": "10s", "share": 0.2, "slack": 60},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(d.directory, name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	h := &host{zone: zone, callers: addresses[0], ready: addresses[1], platform: way}
	h.process = d.newProcess(name, "persimmonmux", "front", "--settings", file)
	d.hosts = append(d.hosts, h)
	return h.start()
}

// readyLimit bounds the balancer's check.
const readyLimit = time.Second

func (h *host) isReady() bool {
	client := http.Client{Timeout: readyLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// close ends every process that the run started.
func (d *deployment) close() {
	var group sync.WaitGroup
	for _, p := range d.processes() {
		group.Go(func() {
			p.signal(syscall.SIGCONT)
			p.end(syscall.SIGKILL)
		})
	}
	group.Wait()
	for _, h := range d.hosts {
		_ = h.platform.Close()
	}
	for _, s := range d.servers {
		_ = s.relay.Close()
	}
}

func (d *deployment) processes() []*process {
	list := []*process{&d.platform}
	for _, h := range d.hosts {
		list = append(list, &h.process)
	}
	for _, s := range d.servers {
		list = append(list, &s.process)
	}
	return list
}

// put sends JSON to the platform as its operator.
func (d *deployment) put(path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+d.address+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("the platform answered %d", answer.StatusCode)
	}
	return nil
}

// setRow writes a row of a table of the platform; a nil value deletes it.
func (d *deployment) setRow(table, key string, value any) error {
	row := map[string]any{"table": table, "key": key}
	if value == nil {
		return d.put(platform.PathRows, map[string]any{"delete": []any{row}})
	}
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	row["value"] = content
	return d.put(platform.PathRows, map[string]any{"setKeys": []any{row}})
}

// announce writes the row of a server.
func (d *deployment) announce(s *server, state string) error {
	s.mutex.Lock()
	s.generation++
	held := []any{}
	if s.service == engines && !s.empty {
		held = append(held, map[string]any{"name": model, "version": 1, "adapters": []string{}})
	}
	row := map[string]any{
		"backend": s.service, "address": s.relay.Address, "zone": s.zone, "slots": 8, "state": state,
		"seq": s.generation, "born": s.born, "models": held,
	}
	s.mutex.Unlock()
	return d.setRow("servers", s.id, row)
}

// change writes the next desired state.
func (d *deployment) change() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version += 3
	route := func(name, kind, service string, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": callHost, "prefix": "/" + name + "/", "routeType": kind, "backend": service, "priority": priority,
			"maxAttempts": attempts, "resumable": resumable, "timeoutMs": 6000, "targetLatencyMs": 600, "gapTargetMs": 300,
		}
	}
	return d.setRow("op", "config", map[string]any{
		"version": d.version,
		"routes": []any{
			route(string(chat), "streaming", engines, 1, 2, true),
			route(string(adviser), "streaming", engines, 0, 1, false),
			route(string(booking), "unsafe", d.booking, 1, 1, false),
			route(string(lookup), "safe", d.booking, 2, 2, false),
		},
		"backends": []any{
			map[string]any{"name": engines, "healthPath": "/healthz", "maxConns": 400, "engine": map[string]any{
				"slots": 8, "kvCacheTokens": 100000, "weightsMb": 80000, "adapterSlots": 6, "loadsPerS": 3,
				"models": []any{map[string]any{"name": model, "weightsMb": 70000, "loadTimeS": 0.4, "adapters": adapters, "adapterMb": 60}},
			}},
			map[string]any{"name": bookings, "healthPath": "/healthz", "maxConns": 100},
			map[string]any{"name": other, "healthPath": "/healthz", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
}

// moveBookings sends bookings and lookups to the other service from now on. It
// returns that service.
func (d *deployment) moveBookings() (string, error) {
	d.mutex.Lock()
	if d.booking == bookings {
		d.booking = other
	} else {
		d.booking = bookings
	}
	target := d.booking
	d.mutex.Unlock()
	return target, d.change()
}

// declare names the next version of an adapter.
func (d *deployment) declare(adapter string) (int, error) {
	d.mutex.Lock()
	d.versions[adapter] = max(d.versions[adapter], 1) + 1
	version := d.versions[adapter]
	d.mutex.Unlock()
	return version, d.setRow("op", "version/"+model+"."+adapter, map[string]any{"model": model, "adapter": adapter, "version": version})
}
