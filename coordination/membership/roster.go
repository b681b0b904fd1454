package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A roster is the state of a Monitor: what this host knows of the hosts, engines
// and leaving processes, and which part of it each peer has acknowledged. Only
// the Monitor's loop uses it. Its methods take the time as an argument and start
// no goroutines.
//
// Everything that heartbeats carry has a sequence number, which is replaced by
// the next one when its content changes. A peer acknowledges the sequence up to
// which it has this host's state, and gets only what is newer.
type roster struct {
	self              fleet.Host
	fullMeshHostLimit int
	fullMesh          bool

	sequence uint64
	// changeLog has an entry for each sequence in rising order, so that a
	// heartbeat looks only at what changed after the acknowledged sequence.
	// An entry is obsolete once its subject has changed again; heartbeats skip
	// it and compact deletes it.
	changeLog []changeEntry
	hosts     map[fleet.HostName]*hostRecord
	engines   map[fleet.EngineName]*engineRecord
	leaving   map[string]*leavingRecord
	// servers has the highest listed start number of each backend server.
	servers map[string]fleet.StartNumber

	// events are sent after the next view is published.
	events []Event
	// hostsDirty and enginesDirty say that parts of the view have to be built
	// again: the hosts and leaving servers, or the engines.
	hostsDirty   bool
	enginesDirty bool
	// publishNow says that the view must be published at once.
	publishNow bool
}

// A changeEntry says which host, engine or leaving process got a sequence. Only
// one of the names is set.
type changeEntry struct {
	sequence uint64
	host     fleet.HostName
	engine   fleet.EngineName
	leaving  string
}

// A hostRecord is what is known of one process of another host.
type hostRecord struct {
	host fleet.Host
	// revision is the revision in the host's last heartbeat; 0 before it.
	revision uint64
	// lastHeartbeat is when the last heartbeat of the host itself arrived.
	lastHeartbeat time.Time
	// lastUpdate is when the last heartbeat or host list with this host arrived,
	// or when the record was created.
	lastUpdate time.Time
	// isGone says that the host list names this start as gone, or that another
	// process took its address.
	isGone bool
	// relayReports has the last report of each relay on this host.
	relayReports map[fleet.HostName]relayReport
	// status is the host's entry in the view.
	status HostStatus
	// toOwnDomain and toOtherDomains are what heartbeats say of the recorded
	// host to peers in this host's failure domain and to peers in other ones.
	toOwnDomain, toOtherDomains advertisement

	// receivedSequence is the host's sequence up to which its state arrived
	// here. acknowledgedSequence is this host's sequence up to which the other
	// host has the state of this one.
	receivedSequence     uint64
	acknowledgedSequence uint64
}

// A relayReport is the state of a host as a relay sent it last.
type relayReport struct {
	start    fleet.StartNumber
	isLive   bool
	revision uint64
}

// An advertisement is the content of heartbeats on one host, and the sequence of
// its last change.
type advertisement struct {
	known    fleet.KnownHost
	sequence uint64
}

// A leavingRecord says that the host or backend server of a name is leaving, in
// the process with its start number and all earlier ones.
type leavingRecord struct {
	start     fleet.StartNumber
	sequence  uint64
	learnedAt time.Time
	// wasShown says that a view has listed the name among the leaving servers.
	// It stays listed when the name turns out to be a host, so that a later view
	// does not withdraw it.
	wasShown bool
}

func newRoster(self fleet.Host, fullMeshHostLimit int) *roster {
	return &roster{
		self:              self,
		fullMeshHostLimit: fullMeshHostLimit,
		fullMesh:          true,
		hosts:             make(map[fleet.HostName]*hostRecord),
		engines:           make(map[fleet.EngineName]*engineRecord),
		leaving:           make(map[string]*leavingRecord),
		servers:           make(map[string]fleet.StartNumber),
		hostsDirty:        true, enginesDirty: true, publishNow: true,
	}
}

// nextSequence appends an entry to the change log and returns its sequence.
func (r *roster) nextSequence(entry changeEntry) uint64 {
	r.sequence++
	entry.sequence = r.sequence
	r.changeLog = append(r.changeLog, entry)
	return r.sequence
}

// compact deletes the obsolete entries of the change log once it is more than
// about twice as long as needed.
func (r *roster) compact() {
	if len(r.changeLog) <= 2*(2*len(r.hosts)+len(r.engines)+len(r.leaving))+maxHeartbeatItems {
		return
	}
	r.changeLog = slices.DeleteFunc(r.changeLog, func(entry changeEntry) bool {
		if host := r.hosts[entry.host]; host != nil {
			return host.toOwnDomain.sequence != entry.sequence && host.toOtherDomains.sequence != entry.sequence
		}
		if engine := r.engines[entry.engine]; engine != nil {
			return engine.lastSequence() != entry.sequence
		}
		leaving := r.leaving[entry.leaving]
		return leaving == nil || leaving.sequence != entry.sequence
	})
}

// receive processes a heartbeat, or an answer to one, that arrived from its
// sender directly. It reports whether the sender is the newest known process
// under its name; the heartbeat of an older process is ignored.
func (r *roster) receive(h fleet.Heartbeat, now time.Time) bool {
	if h.Host.Name == r.self.Name || h.Host.Name == "" {
		return false
	}
	record := r.ensureHost(h.Host, now)
	if record == nil {
		return false
	}
	record.host.FailureDomain, record.host.Region, record.host.PeerAddress = h.Host.FailureDomain, h.Host.Region, h.Host.PeerAddress
	record.lastHeartbeat, record.lastUpdate, record.isGone = now, now, false
	record.revision = h.Revision
	r.retireFormerProcesses(record)
	if h.Host.State == fleet.HostLeaving {
		r.markLeaving(string(h.Host.Name), h.Host.Start, now)
	}
	for _, leaving := range h.Leaving {
		r.markLeaving(leaving.Name, leaving.Start, now)
	}
	for _, known := range h.KnownHosts {
		r.applyKnownHost(h.Host, known, now)
	}
	for _, summary := range h.Engines {
		r.mergeEngine(summary, now)
	}
	if h.AcknowledgedStart == r.self.Start {
		record.acknowledgedSequence = max(record.acknowledgedSequence, h.Acknowledged)
	}
	if h.AssumedStart == 0 || h.AssumedStart == r.self.Start {
		record.receivedSequence = max(record.receivedSequence, h.Sequence)
	}
	r.updateStatus(record, now)
	return true
}

// ensureHost returns the record of a host, or nil when a newer process is known
// under its name. A higher start number begins a new record, because the state
// of the earlier process does not apply to the new one.
func (r *roster) ensureHost(host fleet.Host, now time.Time) *hostRecord {
	record := r.hosts[host.Name]
	if record != nil && record.host.Start > host.Start {
		return nil
	}
	if record == nil || record.host.Start < host.Start {
		record = &hostRecord{host: host, lastUpdate: now, relayReports: make(map[fleet.HostName]relayReport)}
		r.hosts[host.Name] = record
	}
	return record
}

// retireFormerProcesses marks earlier processes at the address of a host as gone.
func (r *roster) retireFormerProcesses(record *hostRecord) {
	for _, other := range r.hosts {
		if other != record && other.host.PeerAddress == record.host.PeerAddress && other.host.Start < record.host.Start {
			other.isGone = true
			other.lastHeartbeat = time.Time{}
		}
	}
}

// markLeaving records that a process is leaving. This is never withdrawn for the
// same start number.
func (r *roster) markLeaving(name string, start fleet.StartNumber, now time.Time) {
	record := r.leaving[name]
	if record != nil && record.start >= start {
		return
	}
	r.leaving[name] = &leavingRecord{
		start:     start,
		sequence:  r.nextSequence(changeEntry{leaving: name}),
		learnedAt: now,
		wasShown:  record != nil && record.wasShown,
	}
	r.hostsDirty, r.publishNow = true, true
	if host := r.hosts[fleet.HostName(name)]; host != nil {
		r.updateStatus(host, now)
		return
	}
	if fleet.HostName(name) != r.self.Name {
		r.events = append(r.events, Event{Kind: EventServer, Server: name})
	}
}

func (r *roster) isLeaving(name string, start fleet.StartNumber) bool {
	record := r.leaving[name]
	return record != nil && record.start >= start
}

// applyKnownHost processes what the heartbeat of the host from says of another
// host. The reported state is used only if that host is in another failure domain
// than this host, and if the sender is in the failure domain of one of the two.
func (r *roster) applyKnownHost(from fleet.Host, known fleet.KnownHost, now time.Time) {
	if known.Host.Name == r.self.Name || known.Host.Name == "" {
		return
	}
	record := r.ensureHost(known.Host, now)
	if record == nil {
		return
	}
	defer r.updateStatus(record, now)
	if record.host.FailureDomain == r.self.FailureDomain || (from.FailureDomain != record.host.FailureDomain && from.FailureDomain != r.self.FailureDomain) {
		return
	}
	record.relayReports[from.Name] = relayReport{
		start:    known.Host.Start,
		isLive:   known.Host.State == fleet.HostLive || known.Host.State == fleet.HostLeaving,
		revision: known.Revision,
	}
}

// applyHostList processes the platform's host list.
func (r *roster) applyHostList(listing fleet.HostList, now time.Time) {
	for _, host := range listing.Hosts {
		if host.Name == r.self.Name || host.Name == "" {
			continue
		}
		record := r.ensureHost(host, now)
		if record == nil {
			continue
		}
		record.lastUpdate = now
		record.isGone = host.State == fleet.HostGone && !r.hasRecentHeartbeat(record, now)
		if host.State == fleet.HostLeaving {
			r.markLeaving(string(host.Name), host.Start, now)
		}
		r.updateStatus(record, now)
	}
	for _, server := range listing.Servers {
		if server.State == fleet.HostLeaving {
			r.markLeaving(server.Name, server.Start, now)
		}
		if server.Start > r.servers[server.Name] {
			r.servers[server.Name] = server.Start
			r.hostsDirty = true
			if r.leaving[server.Name] != nil && r.leaving[server.Name].start < server.Start {
				r.events = append(r.events, Event{Kind: EventServer, Server: server.Name})
				r.publishNow = true
			}
		}
	}
}

// view returns a view of the present state and resets the flags for changes.
// It shares maps that did not change with the last view.
func (r *roster) view(last *View, revision configuration.Revision) *View {
	v := &View{FullMesh: r.fullMesh}
	if last != nil {
		v.Hosts, v.Engines, v.LeavingServers = last.Hosts, last.Engines, last.LeavingServers
	}
	if r.hostsDirty || last == nil {
		v.Hosts = make(map[fleet.HostName]HostStatus, len(r.hosts)+1)
		for name, record := range r.hosts {
			v.Hosts[name] = record.status
		}
		v.LeavingServers = make(map[string]fleet.StartNumber)
		for name, record := range r.leaving {
			host := fleet.HostName(name)
			_, isHost := r.hosts[host]
			isHost = isHost || host == r.self.Name
			if (record.wasShown || !isHost) && record.start >= r.servers[name] {
				record.wasShown = true
				v.LeavingServers[name] = record.start
			}
		}
	} else {
		v.Hosts = maps.Clone(last.Hosts)
	}
	v.Hosts[r.self.Name] = HostStatus{Host: r.self, Reachable: true, Revision: revision}
	if r.enginesDirty || last == nil {
		v.Engines = make(map[fleet.EngineName]fleet.EngineSummary, len(r.engines))
		for name, record := range r.engines {
			v.Engines[name] = record.summary
		}
	}
	r.hostsDirty, r.enginesDirty, r.publishNow = false, false, false
	return v
}
