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

// The names and sizes of the desired state that the soak test configures.
const (
	modelName      = "m0"
	engineService  = "sprachmodelle"
	bookingService = "belegung"
	otherService   = "auskunft"
	callHost       = "soak.example"
	adapterCount   = 20
	modulePath     = "github.com/persimmonmux/persimmonmux"
	zoneCount      = 3
	// spoiledOneIn is the number of streams of which an engine spoils one.
	spoiledOneIn = 50
	// unsoundOneIn is the number of requests that may run once of which a server answers one in a
	// random form, which may contradict itself.
	unsoundOneIn = 25
)

// zoneRegions has the region of each failure domain.
var zoneRegions = map[string]string{"muc-a": "bayern-sued", "muc-b": "bayern-sued", "fra-a": "hessen-mitte"}

// zoneNames lists the failure domains in a fixed order, so that a seed always gives
// the same choices.
var zoneNames = [zoneCount]string{"muc-a", "muc-b", "fra-a"}

// A host is the process of a front host, with the relay through which it reaches the
// platform.
type host struct {
	process
	zone          string
	callerAddress string
	readyAddress  string
	platformRelay *relay.Relay
}

// A server is the process of a stand-in backend server behind a relay.
type server struct {
	process
	id, service, zone string
	// address is where the process listens, behind the relay.
	address    string
	recordPath string
	relay      *relay.Relay

	mutex sync.Mutex
	// rowSequence counts the rows that were written for the server.
	rowSequence int
	// startMilliseconds is the start of the process in Unix milliseconds.
	startMilliseconds int64
	// startsWithoutModel reports that an engine starts without its base model.
	startsWithoutModel bool
}

// A deployment holds the processes and relays of one run and the desired state that
// the platform has.
type deployment struct {
	directory string
	programs  string
	// nextPort is the port before the next one that freeAddress tries.
	nextPort        int
	platform        process
	platformAddress string
	hosts           []*host
	servers         []*server

	mutex sync.Mutex
	// stateVersion is the version of the desired state.
	stateVersion int
	// bookingTarget is the service that bookings and lookups are routed to.
	bookingTarget string
	// adapterVersions has the latest declared version of each adapter. An adapter
	// without an entry has version 1.
	adapterVersions map[string]int
}

// build compiles the programs under test into the directory.
func build(directory string) error {
	for name, path := range map[string]string{"persimmonmux": modulePath, "standin": modulePath + "/standin"} {
		command := exec.Command("go", "build", "-o", filepath.Join(directory, name), path)
		if output, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", path, err, output)
		}
	}
	return nil
}

// freeAddress returns a loopback address that no process listens on. Ports are
// tried in order from nextPort, which must lie below the ports that the kernel
// assigns to outgoing connections.
func (d *deployment) freeAddress() (string, error) {
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

// newRelay starts a relay to the target address.
func (d *deployment) newRelay(target string) (*relay.Relay, error) {
	address, err := d.freeAddress()
	if err != nil {
		return nil, err
	}
	return relay.Listen(address, target)
}

// newProcess returns a process of a compiled program, which is not started yet.
func (d *deployment) newProcess(name, program string, arguments ...string) process {
	return process{
		name:      name,
		program:   filepath.Join(d.programs, program),
		arguments: arguments,
		logPath:   filepath.Join(d.directory, name+".log"),
	}
}

// start starts the platform, the servers and the hosts, and waits until every host
// is ready.
func (d *deployment) start(size size) error {
	d.bookingTarget, d.adapterVersions = bookingService, make(map[string]int)
	var err error
	if d.platformAddress, err = d.freeAddress(); err != nil {
		return err
	}
	d.platform = d.newProcess("platform", "standin", "platform", "--listen", d.platformAddress)
	if err := d.platform.start(); err != nil {
		return err
	}
	if err := d.awaitCondition(func() bool { return d.writeDesiredState() == nil }); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	for i := range zoneCount * size.Engines {
		if err := d.addServer(fmt.Sprintf("engine-%d", i), engineService, zoneNames[i%zoneCount]); err != nil {
			return err
		}
	}
	for i := range zoneCount * size.Services {
		service := []string{bookingService, otherService}[i%2]
		if err := d.addServer(fmt.Sprintf("%s-%d", service, i), service, zoneNames[i%zoneCount]); err != nil {
			return err
		}
	}
	for i := range zoneCount * size.Hosts {
		if err := d.addHost(fmt.Sprintf("host-%d", i), zoneNames[i%zoneCount]); err != nil {
			return err
		}
	}
	return d.awaitCondition(func() bool {
		for _, h := range d.hosts {
			if !h.isReady() {
				return false
			}
		}
		return true
	})
}

// startTimeout bounds each wait while a deployment starts.
const startTimeout = 30 * time.Second

// awaitCondition waits until the condition holds, at most for startTimeout.
func (d *deployment) awaitCondition(condition func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errors.New("deployment is not ready in time")
}

// addServer adds a backend server of a service to the deployment and starts it.
func (d *deployment) addServer(id, service, zone string) error {
	address, err := d.freeAddress()
	if err != nil {
		return err
	}
	s := &server{id: id, service: service, zone: zone, recordPath: filepath.Join(d.directory, id+".jsonl")}
	s.process = d.newProcess(id, "standin")
	s.address = address
	if s.relay, err = d.newRelay(address); err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return d.startServer(s)
}

// startServer starts the process of a server and writes its row.
func (d *deployment) startServer(s *server) error {
	s.mutex.Lock()
	s.startMilliseconds = time.Now().UnixMilli()
	s.arguments = []string{
		"site", "--listen", s.address, "--id", s.id, "--service", s.service, "--record", s.recordPath, "--born", strconv.FormatInt(s.startMilliseconds, 10),
		"--events", strconv.Itoa(eventsPerStream), "--unsound-one-in", strconv.Itoa(unsoundOneIn),
		"--unsound-path", "/" + string(booking) + "/", "--unsound-path", "/" + string(adviser) + "/",
		"--sound-mark=" + recoveryMark,
	}
	if s.service == engineService {
		s.arguments = append(s.arguments, "--model", modelName, "--spoiled-one-in", strconv.Itoa(spoiledOneIn))
	}
	if s.startsWithoutModel {
		s.arguments = append(s.arguments, "--empty")
	}
	s.mutex.Unlock()
	if err := s.start(); err != nil {
		return err
	}
	return d.writeServerRow(s, "ready")
}

// addHost adds a front host to the deployment and starts it.
func (d *deployment) addHost(name, zone string) error {
	var addresses [4]string
	for i := range addresses {
		address, err := d.freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	platformRelay, err := d.newRelay(d.platformAddress)
	if err != nil {
		return err
	}
	content, err := json.Marshal(map[string]any{
		"host-name": name, "failure-domain": zone, "regions": zoneRegions,
		"caller-address": addresses[0], "ready-address": addresses[1], "peer-address": addresses[2], "metrics-address": addresses[3],
		"platform-address": platformRelay.Address,
		"repeats":          map[string]any{"window": "10s", "share": 0.2, "slack": 60},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(d.directory, name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	h := &host{zone: zone, callerAddress: addresses[0], readyAddress: addresses[1], platformRelay: platformRelay}
	h.process = d.newProcess(name, "persimmonmux", "front", "--settings", file)
	d.hosts = append(d.hosts, h)
	return h.start()
}

// readyTimeout bounds a request to /readyz.
const readyTimeout = time.Second

// isReady reports whether /readyz of the host answers with status 200, as a load
// balancer checks it.
func (h *host) isReady() bool {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + h.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// close kills every process of the run, paused ones included, and closes the relays.
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
		_ = h.platformRelay.Close()
	}
	for _, s := range d.servers {
		_ = s.relay.Close()
	}
}

// processes returns all processes of the deployment.
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

// putJSON sends the body as JSON to the platform. A status other than 200 is an
// error.
func (d *deployment) putJSON(path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+d.platformAddress+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("platform: status %d, expected 200", answer.StatusCode)
	}
	return nil
}

// setRow writes a row of a table of the platform, or deletes it if the value is nil.
func (d *deployment) setRow(table, key string, value any) error {
	row := map[string]any{"table": table, "key": key}
	if value == nil {
		return d.putJSON(platform.PathRows, map[string]any{"delete": []any{row}})
	}
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	row["value"] = content
	return d.putJSON(platform.PathRows, map[string]any{"setKeys": []any{row}})
}

// writeServerRow writes the next row of a server, with the given state and the
// address of its relay.
func (d *deployment) writeServerRow(s *server, state string) error {
	s.mutex.Lock()
	s.rowSequence++
	held := []any{}
	if s.service == engineService && !s.startsWithoutModel {
		held = append(held, map[string]any{"name": modelName, "version": 1, "adapters": []string{}})
	}
	row := map[string]any{
		"backend": s.service, "address": s.relay.Address, "zone": s.zone, "slots": 8, "state": state,
		"seq": s.rowSequence, "born": s.startMilliseconds, "models": held,
	}
	s.mutex.Unlock()
	return d.setRow("servers", s.id, row)
}

// writeDesiredState writes the desired state with the next version number. Bookings
// and lookups are routed to bookingTarget.
func (d *deployment) writeDesiredState() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stateVersion += 3
	route := func(name, kind, service string, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": callHost, "prefix": "/" + name + "/", "routeType": kind, "backend": service, "priority": priority,
			"maxAttempts": attempts, "resumable": resumable, "timeoutMs": 6000, "targetLatencyMs": 600, "gapTargetMs": 300,
		}
	}
	return d.setRow("op", "config", map[string]any{
		"version": d.stateVersion,
		"routes": []any{
			route(string(chat), "streaming", engineService, 1, 2, true),
			route(string(adviser), "streaming", engineService, 0, 1, false),
			route(string(booking), "unsafe", d.bookingTarget, 1, 1, false),
			route(string(lookup), "safe", d.bookingTarget, 2, 2, false),
		},
		"backends": []any{
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 400, "engine": map[string]any{
				"slots": 8, "kvCacheTokens": 100000, "weightsMb": 80000, "adapterSlots": 6, "loadsPerS": 3,
				"models": []any{map[string]any{"name": modelName, "weightsMb": 70000, "loadTimeS": 0.4, "adapters": adapterCount, "adapterMb": 60}},
			}},
			map[string]any{"name": bookingService, "healthPath": "/healthz", "maxConns": 100},
			map[string]any{"name": otherService, "healthPath": "/healthz", "maxConns": 100},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
}

// switchBookingTarget routes bookings and lookups to the other plain service and
// returns its name.
func (d *deployment) switchBookingTarget() (string, error) {
	d.mutex.Lock()
	if d.bookingTarget == bookingService {
		d.bookingTarget = otherService
	} else {
		d.bookingTarget = bookingService
	}
	target := d.bookingTarget
	d.mutex.Unlock()
	return target, d.writeDesiredState()
}

// declareVersion sets the next version of an adapter as the desired one and returns
// it.
func (d *deployment) declareVersion(adapter string) (int, error) {
	d.mutex.Lock()
	d.adapterVersions[adapter] = max(d.adapterVersions[adapter], 1) + 1
	version := d.adapterVersions[adapter]
	d.mutex.Unlock()
	return version, d.setRow("op", "version/"+modelName+"."+adapter, map[string]any{"model": modelName, "adapter": adapter, "version": version})
}
