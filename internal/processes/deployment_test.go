//go:build processes && linux

package processes_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/coordination/lease"
	"github.com/persimmonmux/persimmonmux/coordination/ownership"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/protocol/engineapi"
	"github.com/persimmonmux/persimmonmux/protocol/hostlist"
	"github.com/persimmonmux/persimmonmux/standin/engine"
	standin "github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/standin/relay"
	"github.com/persimmonmux/persimmonmux/standin/service"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/table"
	connections "github.com/persimmonmux/persimmonmux/transport/backend"
)

const (
	token = "token-of-the-tests"
	// adapterCount is the number of adapters; each has two versions. An engine has
	// fewer slots than there are adapter versions, so that owners evict instances.
	// With scarceSlotsPerEngine, two engines cannot hold all versions, so that the
	// third engine has to be used again after a fault.
	adapterCount         = 6
	slotsPerEngine       = 6
	scarceSlotsPerEngine = 5
	// tokenInterval is the time between two tokens. With tokensPerAnswer, an answer
	// lasts about half a second, so that requests are in flight at every fault. An
	// answer with tokensPerLongAnswer lasts longer than graceTime.
	tokenInterval       = 10 * time.Millisecond
	tokensPerAnswer     = 40
	tokensPerLongAnswer = 300
	// leaseDuration is the shortest duration that the lease renewal and the lease
	// margin of the tests allow, plus some time for a busy machine.
	leaseDuration = 2 * time.Second
	// applicationName is the application that all callers belong to.
	applicationName = "tests"
	// graceTime is several times the interval at which callers poll /readyz.
	graceTime = 2 * time.Second
)

// failureDomains lists the failure domains of a deployment with their regions.
var failureDomains = []struct{ name, region string }{{"east-a", "east"}, {"east-b", "east"}, {"west-a", "west"}}

// A deployment holds the processes of a test and the relays between them.
type deployment struct {
	t         *testing.T
	directory string
	platform  *process
	engines   []*backend
	services  []*backend
	hosts     []*entryHost

	platformAddress string
	// platformRelays has, by failure domain, the relay through which its hosts reach
	// the platform.
	platformRelays map[string]*relay.Relay
	options
}

// options are the properties in which deployments differ.
type options struct {
	// relayedPeers puts relays between the entry hosts, so that failure domains
	// can be cut off from each other.
	relayedPeers bool
	// slots is the number of slots of each engine; zero means slotsPerEngine.
	slots int
}

// An entryHost is the process of an entry host with its addresses.
type entryHost struct {
	*process
	domain                     string
	callerAddress, peerAddress string
	// advertisedAddress is the address that other hosts use: that of relay if there
	// is one, otherwise peerAddress.
	advertisedAddress string
	relay             *relay.Relay
}

// A backend is a backend server: an engine or a server of a plain service.
type backend struct {
	*process
	domain    string
	address   string
	arguments []string
	// relay stands between the entry hosts and the backend server.
	relay *relay.Relay
	// earlierRuns counts, by request, the runs in earlier processes of the backend
	// server, which restart has killed.
	earlierRuns map[string]int
}

// runningDeployments is a semaphore that bounds the deployments that run at the
// same time, because each has 13 processes. More than one may run, because the
// tests spend most of their time waiting.
var runningDeployments = make(chan struct{}, 2)

// newDeployment starts a deployment and waits until every entry host is ready and
// every engine has an owner.
func newDeployment(t *testing.T, o options) *deployment {
	t.Helper()
	t.Parallel()
	runningDeployments <- struct{}{}
	t.Cleanup(func() { <-runningDeployments })
	d := &deployment{
		t: t, directory: t.TempDir(), platformAddress: freeAddress(t),
		platformRelays: make(map[string]*relay.Relay), options: o,
	}
	if d.slots == 0 {
		d.slots = slotsPerEngine
	}
	d.platform = startProgram(t, d.directory, "platform", "standin", "platform",
		"--listen", d.platformAddress, "--loads-per-second", "50", "--host-lag", "1s")
	for i, domain := range failureDomains {
		d.platformRelays[domain.name] = newRelay(t, d.platformAddress)
		fencing := fleet.FencingEnforced
		if i == 0 {
			fencing = fleet.FencingIgnored
		}
		d.engines = append(d.engines, d.startBackend(fmt.Sprintf("engine-%s", domain.name), domain.name, "engine",
			"--platform", "http://"+d.platformAddress, "--slots", fmt.Sprint(d.slots), "--batch-size", "32",
			"--token-interval", tokenInterval.String(), "--fencing", string(fencing)))
		d.services = append(d.services, d.startBackend(fmt.Sprintf("service-%s", domain.name), domain.name, "service"))
	}
	d.startHosts()
	d.publishHosts()
	for _, h := range d.hosts {
		await(t, h.name+" is ready", func() bool { return isReady(h.callerAddress) })
	}
	for _, e := range d.engines {
		await(t, e.name+" has an owner", func() bool { return d.owner(e) != nil })
	}
	return d
}

// startBackend starts a backend server and its relay, and waits until the server
// answers. The kind is a command of the stand-in program.
func (d *deployment) startBackend(name, domain, kind string, arguments ...string) *backend {
	b := &backend{domain: domain, address: freeAddress(d.t), earlierRuns: make(map[string]int)}
	b.arguments = append([]string{kind, "--listen", b.address}, arguments...)
	b.process = startProgram(d.t, d.directory, name, "standin", b.arguments...)
	b.relay = newRelay(d.t, b.address)
	await(d.t, name+" answers", func() bool { return callJSON(http.MethodGet, b.address, engine.PathRecord, nil, nil) == nil })
	return b
}

// startHosts starts two entry hosts in each failure domain.
func (d *deployment) startHosts() {
	var hosts []*entryHost
	var advertised []string
	for _, domain := range failureDomains {
		for i := range 2 {
			h := &entryHost{domain: domain.name, callerAddress: freeAddress(d.t), peerAddress: freeAddress(d.t)}
			h.process = &process{name: fmt.Sprintf("host-%s-%d", domain.name, i+1)}
			h.advertisedAddress = h.peerAddress
			if d.relayedPeers {
				h.relay = newRelay(d.t, h.peerAddress)
				h.advertisedAddress = h.relay.Address
			}
			hosts = append(hosts, h)
			advertised = append(advertised, h.advertisedAddress)
		}
	}
	configuration := d.writeJSON("configuration.json", d.configuration())
	for i, h := range hosts {
		others := slices.Delete(slices.Clone(advertised), i, i+1)
		settings := d.writeJSON(h.name+".json", d.settings(h, failureDomains[i/2].region, others))
		if d.relayedPeers {
			h.process = startRelayedHost(d.t, d.directory, h.name, h.advertisedAddress, settings, configuration)
		} else {
			h.process = startProgram(d.t, d.directory, h.name, "persimmonmux", "serve", "--settings", settings, "--initial-configuration", configuration)
		}
	}
	d.hosts = hosts
}

// cutOff blocks all connections between a failure domain and the entry hosts and
// backend servers of the other domains, in both directions. The platform stays
// reachable from all domains.
func (d *deployment) cutOff(domain string) {
	cut := func(target string) func(net.Conn) bool {
		return func(near net.Conn) bool {
			source := d.sourceDomain(near)
			return source != "" && (source == domain) != (target == domain)
		}
	}
	for _, h := range d.hosts {
		h.relay.SetPartition(cut(h.domain))
	}
	for _, b := range d.backends() {
		b.relay.SetPartition(cut(b.domain))
	}
}

// heal allows again the connections that cutOff blocked.
func (d *deployment) heal() {
	for _, h := range d.hosts {
		h.relay.SetPartition(nil)
	}
	for _, b := range d.backends() {
		b.relay.SetPartition(nil)
	}
}

// epochs returns the epoch of each engine's lease, in the order of the engines.
func (d *deployment) epochs() []fleet.Epoch {
	d.t.Helper()
	var epochs []fleet.Epoch
	for _, e := range d.engines {
		epochs = append(epochs, d.lease(e).Epoch)
	}
	return epochs
}

// checkEpochs checks that no engine's lease has a lower epoch than before.
func (d *deployment) checkEpochs(before []fleet.Epoch) {
	d.t.Helper()
	for i, epoch := range d.epochs() {
		qt.Check(d.t, epoch >= before[i], qt.IsTrue, qt.Commentf("lease of %s", d.engines[i].name))
	}
}

// settings returns the settings of an entry host.
func (d *deployment) settings(h *entryHost, region string, others []string) any {
	return map[string]any{
		"host-name": h.name, "failure-domain": h.domain, "region": region,
		"caller-address": h.callerAddress, "peer-address": h.peerAddress, "peer-addresses": others,
		"platform-address": d.platformRelays[h.domain].Address,
		"limits":           map[string]any{"grace-time": graceTime.String()},
		"timings": map[string]any{
			"lease-duration": leaseDuration.String(), "lease-renewal": "500ms", "lease-margin": "200ms",
			"grant-limit": "30s", "isolated-service-limit": "2m",
		},
		"decisions": map[string]any{"load-rate-share": 15},
	}
}

// configuration returns the initial configuration, which all entry hosts share.
func (d *deployment) configuration() any {
	hash := sha256.Sum256([]byte(token))
	versions := map[string]any{}
	for i := range adapterCount {
		versions[fmt.Sprintf("adapter-%d", i)] = map[string]any{"versions": []int{1, 2}, "current": 2}
	}
	engines := map[string]any{}
	var servers []any
	for i, e := range d.engines {
		fencing := fleet.FencingEnforced
		if i == 0 {
			fencing = fleet.FencingIgnored
		}
		engines[e.name] = map[string]any{
			"pool": "models", "failure-domain": e.domain, "address": e.relay.Address,
			"slots": d.slots, "batch-size": 32, "fencing": fencing,
		}
		s := d.services[i]
		servers = append(servers, map[string]any{"name": s.name, "failure-domain": s.domain, "address": s.relay.Address})
	}
	return map[string]any{
		"adapters": versions,
		"kinds": map[string]any{
			"chat":    map[string]any{"urgency": "interactive", "repeat": "allowed", "deadline": chatDeadline.String()},
			"booking": map[string]any{"urgency": "interactive", "repeat": "forbidden", "deadline": bookingDeadline.String()},
		},
		"applications": map[string]any{applicationName: map[string]any{
			"token-hash": hex.EncodeToString(hash[:]), "kinds": []string{"chat", "booking"},
		}},
		"engines":  engines,
		"services": map[string]any{"ledger": map[string]any{"servers": servers, "refusal-proves": []int{http.StatusTooManyRequests}}},
	}
}

// publishHosts puts all entry hosts and backend servers into the platform's host
// list: the given backend servers as leaving, all others as live.
func (d *deployment) publishHosts(leaving ...*backend) {
	d.t.Helper()
	var listed []fleet.ListedHost
	for _, h := range d.hosts {
		listed = append(listed, fleet.ListedHost{
			Name: h.name, Role: fleet.RoleEntry, FailureDomain: fleet.FailureDomainName(h.domain), Address: h.advertisedAddress, State: fleet.HostLive,
		})
	}
	for _, b := range d.backends() {
		state := fleet.HostLive
		if slices.Contains(leaving, b) {
			state = fleet.HostLeaving
		}
		listed = append(listed, fleet.ListedHost{
			Name: b.name, Role: fleet.RoleBackend, FailureDomain: fleet.FailureDomainName(b.domain), Address: b.address, State: state,
		})
	}
	for _, host := range listed {
		qt.Assert(d.t, callJSON(http.MethodPut, d.platformAddress, hostlist.PathHosts, host, nil), qt.IsNil)
	}
}

// backends returns the engines and the servers of the plain service.
func (d *deployment) backends() []*backend {
	return slices.Concat(d.engines, d.services)
}

// writeJSON encodes the content as JSON into a file of the deployment's directory
// and returns its path.
func (d *deployment) writeJSON(name string, content any) string {
	d.t.Helper()
	encoded, err := json.MarshalIndent(content, "", "  ")
	qt.Assert(d.t, err, qt.IsNil)
	path := filepath.Join(d.directory, name)
	qt.Assert(d.t, os.WriteFile(path, encoded, 0o600), qt.IsNil)
	return path
}

// owner returns the entry host that holds the lease of an engine according to the
// platform's table, or nil if none does.
func (d *deployment) owner(e *backend) *entryHost {
	d.t.Helper()
	record := d.lease(e)
	for _, h := range d.hosts {
		if h.name == string(record.Holder) {
			return h
		}
	}
	return nil
}

// lease returns the lease record of an engine. It is zero if the platform has none
// or does not answer.
func (d *deployment) lease(e *backend) lease.Record {
	d.t.Helper()
	store := &platform.Store{Address: d.platformAddress, Client: &connections.Client{}}
	defer store.Close()
	records, err := store.Read(context.Background(), []table.Key{ownership.LeaseName(fleet.EngineName(e.name)).Key()})
	var record lease.Record
	if err == nil && records[0].Version > 0 {
		qt.Assert(d.t, json.Unmarshal(records[0].Value, &record), qt.IsNil)
	}
	return record
}

// awaitOwner waits until another host than the former owner holds the lease of an
// engine with a higher epoch than the given one.
func (d *deployment) awaitOwner(e *backend, former *entryHost, epoch fleet.Epoch) {
	d.t.Helper()
	await(d.t, e.name+" has another owner than "+former.name, func() bool {
		owner := d.owner(e)
		return owner != nil && owner != former && d.lease(e).Epoch > epoch
	})
}

// awaitUse waits until the engine runs further requests.
func (d *deployment) awaitUse(e *backend) {
	d.t.Helper()
	before := len(d.fetchRecord(e).Runs)
	await(d.t, e.name+" is used", func() bool { return len(d.fetchRecord(e).Runs) > before })
}

// countLeavingHosts returns the number of leaving hosts in the platform's host list.
func (d *deployment) countLeavingHosts() int {
	var answer hostlist.HostsResponse
	if callJSON(http.MethodGet, d.platformAddress, hostlist.PathHosts, nil, &answer) != nil {
		return 0
	}
	count := 0
	for _, host := range answer.Hosts {
		if host.State == fleet.HostLeaving {
			count++
		}
	}
	return count
}

// setPlatformFaults replaces the faults that the stand-in platform injects.
func (d *deployment) setPlatformFaults(faults standin.ServerFaults) {
	d.t.Helper()
	qt.Assert(d.t, callJSON(http.MethodPut, d.platformAddress, standin.PathFaults, faults, nil), qt.IsNil)
}

// loadedInstances returns the names of the adapter instances that an engine holds.
func (d *deployment) loadedInstances(e *backend) []string {
	var list engineapi.ModelList
	if callJSON(http.MethodGet, e.address, engineapi.PathModels, nil, &list) != nil {
		return nil
	}
	var names []string
	for _, model := range list.Data {
		names = append(names, model.ID)
	}
	return names
}

// fetchRecord returns the record that a backend server keeps of its runs. Plain
// services record no violations.
func (d *deployment) fetchRecord(b *backend) engine.Record {
	d.t.Helper()
	var record engine.Record
	path := engine.PathRecord
	if strings.HasPrefix(b.name, "service") {
		path = service.PathRecord
	}
	qt.Assert(d.t, callJSON(http.MethodGet, b.address, path, nil, &record), qt.IsNil)
	return record
}

// sendLateUnloads sends an engine orders of a former owner, delayed until now, to
// unload all instances of the given epoch or an earlier one. Engines that enforce
// fencing refuse them, because their fencing number is out of date.
func (d *deployment) sendLateUnloads(e *backend, epoch fleet.Epoch) {
	d.t.Helper()
	for _, name := range d.loadedInstances(e) {
		instance, err := fleet.ParseInstance(name)
		qt.Assert(d.t, err, qt.IsNil)
		if instance.Epoch > epoch {
			continue
		}
		body, err := json.Marshal(engineapi.UnloadRequest{LoraName: name})
		qt.Assert(d.t, err, qt.IsNil)
		r, err := http.NewRequest(http.MethodPost, "http://"+e.address+engineapi.PathUnload, bytes.NewReader(body))
		qt.Assert(d.t, err, qt.IsNil)
		r.Header.Set(engineapi.HeaderFencingNumber, fmt.Sprint(epoch))
		response, err := controlClient.Do(r)
		qt.Assert(d.t, err, qt.IsNil)
		_ = response.Body.Close()
	}
}

// restart kills a backend server and starts it again at the same address, without
// its former state. It keeps the counts of the runs until then in earlierRuns.
func (d *deployment) restart(b *backend) {
	d.t.Helper()
	record := d.fetchRecord(b)
	qt.Check(d.t, record.Violations, qt.HasLen, 0)
	b.kill()
	for id, count := range record.Runs {
		b.earlierRuns[id] += count
	}
	b.process = startProgram(d.t, d.directory, b.name, "standin", b.arguments...)
	await(d.t, b.name+" answers", func() bool { return callJSON(http.MethodGet, b.address, engine.PathRecord, nil, nil) == nil })
}

// countRuns checks that no backend server has recorded a violation, and returns how
// often each request has run on all of them.
func (d *deployment) countRuns() map[string]int {
	d.t.Helper()
	runs := make(map[string]int)
	for _, b := range d.backends() {
		record := d.fetchRecord(b)
		qt.Check(d.t, record.Violations, qt.HasLen, 0, qt.Commentf("record of %s", b.name))
		for _, counts := range []map[string]int{record.Runs, b.earlierRuns} {
			for id, count := range counts {
				runs[id] += count
			}
		}
	}
	return runs
}

// controlClient calls the control interfaces of the stand-ins.
var controlClient = &http.Client{Timeout: 5 * time.Second}

// callJSON sends the body as JSON and decodes the answer into answer, unless this
// is nil. A status other than 200 is an error.
func callJSON(method, address, path string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	response, err := controlClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // The body is read.
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, content)
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(content, answer)
}

// readinessClient checks /readyz, as the load balancer in front of the entry hosts
// would.
var readinessClient = &http.Client{Timeout: time.Second}

// isReady reports whether /readyz of a host answers with status 200.
func isReady(address string) bool {
	response, err := readinessClient.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
