package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A roster is the state of a Monitor: what this host knows of the others and
// what it told them. It takes the time as an argument and starts nothing.
//
// Everything that is told to others has a sequence number, which is renewed
// when it changes. A peer acknowledges the sequence up to which it has this
// host's state, and gets only what is newer.
type roster struct {
	self        fleet.Host
	directLimit int
	direct      bool

	sequence uint64
	// changed has an entry for each sequence in rising order, so that a
	// heartbeat looks only at what changed since the last one. Entries of
	// things that changed again are skipped, and dropped by compact.
	changed []changeEntry
	hosts   map[fleet.HostName]*hostRecord
	engines map[fleet.EngineName]*engineRecord
	leaving map[string]*leavingRecord
	servers map[string]fleet.StartNumber

	events       []Event
	hostsDirty   bool
	enginesDirty bool
	// urgent says that the view must be published at once.
	urgent bool
}

// A changeEntry names what got a sequence. One of the names is set.
type changeEntry struct {
	sequence uint64
	host     fleet.HostName
	engine   fleet.EngineName
	leaving  string
}

// A hostRecord is what is known of one other host.
type hostRecord struct {
	host fleet.Host
	// revision is what the host itself told last; 0 before.
	revision uint64
	// heard is when the host's own heartbeat arrived last.
	heard time.Time
	// news is when anything new was learned of the host.
	news time.Time
	// gone says that the host list names this start as gone, or that another
	// process took its address.
	gone bool
	// reports are what relays say of the host.
	reports map[fleet.HostName]report
	// status is what the view shows.
	status HostStatus
	// near and far are what peers of this and of other failure domains are told.
	near, far told

	// received is the host's sequence up to which its state arrived here, and
	// acknowledged is this host's sequence up to which it has the state here.
	received     uint64
	acknowledged uint64
}

// A report is what a relay says of a host.
type report struct {
	start    fleet.StartNumber
	live     bool
	revision uint64
}

// told is a sighting and the sequence of its last change.
type told struct {
	sighting fleet.KnownHost
	sequence uint64
}

// An engineRecord is the newest summary of an engine.
type engineRecord struct {
	summary fleet.EngineSummary
	// instances and load are the sequences of the last change of each.
	instances, load uint64
	// loadTold is when load was renewed last, and reportTold the report that
	// was current then.
	loadTold   time.Time
	reportTold uint64
}

// sequence is the sequence of the last change.
func (e *engineRecord) sequence() uint64 {
	return max(e.instances, e.load)
}

// A leavingRecord names a process that leaves.
type leavingRecord struct {
	start    fleet.StartNumber
	sequence uint64
	learned  time.Time
	// shown says that a view has shown the process among the servers. It stays
	// there when it turns out to be a host, so that no view unlearns it.
	shown bool
}

func newRoster(self fleet.Host, directLimit int) *roster {
	return &roster{
		self:        self,
		directLimit: directLimit,
		direct:      true,
		hosts:       make(map[fleet.HostName]*hostRecord),
		engines:     make(map[fleet.EngineName]*engineRecord),
		leaving:     make(map[string]*leavingRecord),
		servers:     make(map[string]fleet.StartNumber),
		hostsDirty:  true, enginesDirty: true, urgent: true,
	}
}

// next returns the next sequence for what the entry names.
func (r *roster) next(entry changeEntry) uint64 {
	r.sequence++
	entry.sequence = r.sequence
	r.changed = append(r.changed, entry)
	return r.sequence
}

// compact drops the entries of things that changed again.
func (r *roster) compact() {
	if len(r.changed) <= 2*(2*len(r.hosts)+len(r.engines)+len(r.leaving))+itemLimit {
		return
	}
	r.changed = slices.DeleteFunc(r.changed, func(entry changeEntry) bool {
		if host := r.hosts[entry.host]; host != nil {
			return host.near.sequence != entry.sequence && host.far.sequence != entry.sequence
		}
		if engine := r.engines[entry.engine]; engine != nil {
			return engine.sequence() != entry.sequence
		}
		leaving := r.leaving[entry.leaving]
		return leaving == nil || leaving.sequence != entry.sequence
	})
}

// receive takes a heartbeat that came from its sender directly. It reports
// whether the sender is the newest process under its name.
func (r *roster) receive(h fleet.Heartbeat, now time.Time) bool {
	if h.Host.Name == r.self.Name || h.Host.Name == "" {
		return false
	}
	record := r.learn(h.Host, now)
	if record == nil {
		return false
	}
	record.host.FailureDomain, record.host.Region, record.host.PeerAddress = h.Host.FailureDomain, h.Host.Region, h.Host.PeerAddress
	record.heard, record.news, record.gone = now, now, false
	record.revision = h.Revision
	r.retireAddress(record)
	if h.Host.State == fleet.HostLeaving {
		r.leave(string(h.Host.Name), h.Host.Start, now)
	}
	for _, leaving := range h.Leaving {
		r.leave(leaving.Name, leaving.Start, now)
	}
	for _, sighting := range h.KnownHosts {
		r.sight(h.Host, sighting, now)
	}
	for _, summary := range h.Engines {
		r.learnEngine(summary, now)
	}
	if h.AcknowledgedStart == r.self.Start {
		record.acknowledged = max(record.acknowledged, h.Acknowledged)
	}
	if h.AssumedStart == 0 || h.AssumedStart == r.self.Start {
		record.received = max(record.received, h.Sequence)
	}
	r.judge(record, now)
	return true
}

// learn returns the record of a host, or nil when a newer process is known
// under its name. A higher start begins a new record, because nothing that was
// known of the earlier process holds for it.
func (r *roster) learn(host fleet.Host, now time.Time) *hostRecord {
	record := r.hosts[host.Name]
	if record != nil && record.host.Start > host.Start {
		return nil
	}
	if record == nil || record.host.Start < host.Start {
		record = &hostRecord{host: host, news: now, reports: make(map[fleet.HostName]report)}
		r.hosts[host.Name] = record
	}
	return record
}

// retireAddress marks earlier processes at the address of a host as gone.
func (r *roster) retireAddress(record *hostRecord) {
	for _, other := range r.hosts {
		if other != record && other.host.PeerAddress == record.host.PeerAddress && other.host.Start < record.host.Start {
			other.gone = true
			other.heard = time.Time{}
		}
	}
}

// leave remembers that a process leaves. It is never unlearned for its start.
func (r *roster) leave(name string, start fleet.StartNumber, now time.Time) {
	record := r.leaving[name]
	if record != nil && record.start >= start {
		return
	}
	r.leaving[name] = &leavingRecord{
		start:    start,
		sequence: r.next(changeEntry{leaving: name}),
		learned:  now,
		shown:    record != nil && record.shown,
	}
	r.hostsDirty, r.urgent = true, true
	if host := r.hosts[fleet.HostName(name)]; host != nil {
		r.judge(host, now)
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

// sight takes what a host says of another one. A relay's word on the state
// counts for hosts of other failure domains than this one: from a host of
// their own failure domain, or from a host of this one.
func (r *roster) sight(from fleet.Host, sighting fleet.KnownHost, now time.Time) {
	if sighting.Host.Name == r.self.Name || sighting.Host.Name == "" {
		return
	}
	record := r.learn(sighting.Host, now)
	if record == nil {
		return
	}
	defer r.judge(record, now)
	if record.host.FailureDomain == r.self.FailureDomain || (from.FailureDomain != record.host.FailureDomain && from.FailureDomain != r.self.FailureDomain) {
		return
	}
	record.reports[from.Name] = report{
		start:    sighting.Host.Start,
		live:     sighting.Host.State == fleet.HostLive || sighting.Host.State == fleet.HostLeaving,
		revision: sighting.Revision,
	}
}

// learnEngine merges a summary: the higher epoch is right, then the higher
// version, then the later report. A partial summary changes the load only.
func (r *roster) learnEngine(summary fleet.EngineSummary, now time.Time) {
	record := r.engines[summary.Engine]
	known := record != nil && record.summary.Epoch == summary.Epoch && record.summary.Version == summary.Version &&
		record.summary.Start == summary.Start
	if summary.InstancesOmitted && !known {
		return
	}
	if record != nil && !newer(summary, record.summary) {
		return
	}
	if summary.InstancesOmitted || known {
		summary.Instances = record.summary.Instances
	}
	summary.InstancesOmitted = false
	summary.ReceivedAt = now
	if record == nil {
		record = &engineRecord{}
		r.engines[summary.Engine] = record
	}
	previous := record.summary
	record.summary = summary
	r.enginesDirty = true
	if !known {
		record.instances = r.next(changeEntry{engine: summary.Engine})
		r.urgent = true
	}
	r.renewLoad(record, !known, now)
	if previous.Epoch != summary.Epoch || previous.Owner != summary.Owner || previous.Start != summary.Start {
		r.events = append(r.events, Event{Kind: EventEngine, Engine: summary})
	}
}

// renewLoad tells peers of a change of load, of engines of others only each
// relayedLoadInterval. What waits is told by a later tick.
func (r *roster) renewLoad(record *engineRecord, always bool, now time.Time) {
	due := record.summary.Owner == r.self.Name || now.Sub(record.loadTold) >= relayedLoadInterval
	if always || (due && record.reportTold != record.summary.LoadVersion) {
		record.load, record.loadTold, record.reportTold = r.next(changeEntry{engine: record.summary.Engine}), now, record.summary.LoadVersion
	}
}

func newer(a, b fleet.EngineSummary) bool {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Version, b.Version), cmp.Compare(a.LoadVersion, b.LoadVersion)) > 0
}

// ownEngines takes the summaries of the engines that this host owns.
func (r *roster) ownEngines(summaries []fleet.EngineSummary, now time.Time) {
	for _, summary := range summaries {
		summary.Owner, summary.InstancesOmitted = r.self.Name, false
		if record := r.engines[summary.Engine]; record != nil && record.summary.Epoch == summary.Epoch {
			if record.summary.Version == summary.Version && record.summary.Start == summary.Start &&
				record.summary.Running == summary.Running && record.summary.Waiting == summary.Waiting {
				continue
			}
			summary.LoadVersion = record.summary.LoadVersion
		}
		summary.LoadVersion++
		r.learnEngine(summary, now)
	}
}

// list takes the host list of the platform.
func (r *roster) list(listing fleet.HostList, now time.Time) {
	for _, host := range listing.Hosts {
		if host.Name == r.self.Name || host.Name == "" {
			continue
		}
		record := r.learn(host, now)
		if record == nil {
			continue
		}
		record.news = now
		record.gone = host.State == fleet.HostGone && !r.heardDirectly(record, now)
		if host.State == fleet.HostLeaving {
			r.leave(string(host.Name), host.Start, now)
		}
		r.judge(record, now)
	}
	for _, server := range listing.Servers {
		if server.State == fleet.HostLeaving {
			r.leave(server.Name, server.Start, now)
		}
		if server.Start > r.servers[server.Name] {
			r.servers[server.Name] = server.Start
			r.hostsDirty = true
			if r.leaving[server.Name] != nil && r.leaving[server.Name].start < server.Start {
				r.events = append(r.events, Event{Kind: EventServer, Server: server.Name})
				r.urgent = true
			}
		}
	}
}

func (r *roster) heardDirectly(record *hostRecord, now time.Time) bool {
	return !record.heard.IsZero() && now.Sub(record.heard) < silenceLimit
}

// vouched returns what this host knows of another one at first hand, or from
// relays where it has none: whether it is heard, and its revision.
func (r *roster) vouched(record *hostRecord, now time.Time, accept func(fleet.Host) bool) (bool, uint64) {
	if r.heardDirectly(record, now) {
		return true, record.revision
	}
	if r.direct {
		return false, record.revision
	}
	heard, revision := false, record.revision
	for name, report := range record.reports {
		source := r.hosts[name]
		if source == nil || report.start != record.host.Start || !r.heardDirectly(source, now) || !accept(source.host) {
			continue
		}
		heard = heard || report.live
		revision = max(revision, report.revision)
	}
	return heard, revision
}

// judge sets the status of a host and what peers are told of it.
func (r *roster) judge(record *hostRecord, now time.Time) {
	if r.hosts[record.host.Name] != record {
		return
	}
	heard, revision := r.vouched(record, now, func(fleet.Host) bool { return true })
	host := record.host
	host.State = r.stateOf(record, heard)
	status := HostStatus{Host: host, Reachable: heard, Revision: configuration.Revision(revision)}
	if status != record.status {
		if status.Host != record.status.Host || status.Reachable != record.status.Reachable {
			r.events = append(r.events, Event{Kind: EventHost, Host: host})
			r.urgent = true
		}
		record.status = status
		r.hostsDirty = true
	}
	r.tell(record, now)
}

func (r *roster) stateOf(record *hostRecord, heard bool) fleet.HostState {
	switch {
	case record.gone:
		return fleet.HostGone
	case r.isLeaving(string(record.host.Name), record.host.Start):
		return fleet.HostLeaving
	case heard:
		return fleet.HostLive
	default:
		return fleet.HostUnreachable
	}
}

// tell renews what peers are told of a host. All peers learn that it exists;
// its state is vouched for across failure domains only, and only by a host that
// has it at first hand, so that two hosts never keep a silent one alive by
// quoting each other.
func (r *roster) tell(record *hostRecord, now time.Time) {
	near := fleet.KnownHost{Host: record.host}
	near.Host.State = fleet.HostUnreachable
	far := near
	if !r.direct {
		if record.host.FailureDomain == r.self.FailureDomain {
			if r.heardDirectly(record, now) {
				far.Host.State, far.Revision = fleet.HostLive, record.revision
			}
		} else {
			heard, revision := r.vouched(record, now, func(source fleet.Host) bool { return source.FailureDomain == record.host.FailureDomain })
			if heard {
				near.Host.State, near.Revision = fleet.HostLive, revision
			}
		}
	}
	vouches := r.renew(&record.near, near)
	vouches = r.renew(&record.far, far) || vouches
	if !vouches {
		return
	}
	for _, engine := range r.engines {
		if engine.summary.Owner == record.host.Name {
			engine.instances = r.next(changeEntry{engine: engine.summary.Engine})
		}
	}
}

// renew reports whether this host begins to vouch for the host.
func (r *roster) renew(t *told, sighting fleet.KnownHost) bool {
	if t.sequence != 0 && t.sighting == sighting {
		return false
	}
	begins := sighting.Host.State == fleet.HostLive && t.sighting.Host.State != fleet.HostLive
	*t = told{sighting: sighting, sequence: r.next(changeEntry{host: sighting.Host.Name})}
	return begins
}

// tick judges all hosts again, because silence is the lack of an event, and
// forgets hosts without news.
func (r *roster) tick(now time.Time) {
	count := 1
	for name, record := range r.hosts {
		if now.Sub(record.news) >= forgetLimit {
			r.forget(name)
			continue
		}
		if !record.gone && now.Sub(record.news) < countedLimit {
			count++
		}
	}
	if direct := count <= r.directLimit; direct != r.direct {
		r.direct, r.hostsDirty = direct, true
	}
	for _, record := range r.hosts {
		r.judge(record, now)
	}
	for _, record := range r.engines {
		r.renewLoad(record, false, now)
	}
	r.compact()
	for name, record := range r.leaving {
		if now.Sub(record.learned) >= forgetLimit && r.hosts[fleet.HostName(name)] == nil && r.servers[name] == 0 {
			delete(r.leaving, name)
			r.hostsDirty = true
		}
	}
}

func (r *roster) forget(name fleet.HostName) {
	delete(r.hosts, name)
	for _, record := range r.hosts {
		delete(record.reports, name)
	}
	r.hostsDirty = true
}

// header is the part of each heartbeat that says who sends it.
func (r *roster) header(revision configuration.Revision) fleet.Heartbeat {
	return fleet.Heartbeat{Host: r.self, Revision: uint64(revision)}
}

// An item is something that a heartbeat tells.
type item struct {
	sequence uint64
	add      func(*fleet.Heartbeat)
}

// heartbeatFor returns the heartbeat for a peer: what changed since the peer
// acknowledged last, oldest change first, at most itemLimit things.
func (r *roster) heartbeatFor(name fleet.HostName, revision configuration.Revision) fleet.Heartbeat {
	h := r.header(revision)
	record := r.hosts[name]
	if record == nil {
		return h
	}
	h.Acknowledged, h.AcknowledgedStart = record.received, record.host.Start
	since := record.acknowledged
	if since > 0 {
		h.AssumedStart = record.host.Start
	}
	items := r.itemsFor(record, since)
	h.Sequence = r.sequence
	if len(items) > itemLimit {
		slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.sequence, b.sequence) })
		items = items[:itemLimit]
		h.Sequence = items[itemLimit-1].sequence
	}
	for _, item := range items {
		item.add(&h)
	}
	return h
}

// itemsFor returns what changed after a sequence, newest first.
func (r *roster) itemsFor(peer *hostRecord, since uint64) []item {
	var items []item
	near := peer.host.FailureDomain == r.self.FailureDomain
	for i := len(r.changed) - 1; i >= 0 && r.changed[i].sequence > since; i-- {
		entry := r.changed[i]
		var add func(*fleet.Heartbeat)
		switch {
		case entry.leaving != "":
			add = r.leavingItem(entry)
		case entry.host != "":
			add = r.hostItem(entry, peer, near)
		default:
			add = r.engineItem(entry, since, near)
		}
		if add != nil {
			items = append(items, item{entry.sequence, add})
		}
	}
	return items
}

// leavingItem, hostItem and engineItem return nil when the entry is of an
// earlier change or not for the peer.
func (r *roster) leavingItem(entry changeEntry) func(*fleet.Heartbeat) {
	record := r.leaving[entry.leaving]
	if record == nil || record.sequence != entry.sequence {
		return nil
	}
	leaving := fleet.LeavingMember{Name: entry.leaving, Start: record.start}
	return func(h *fleet.Heartbeat) { h.Leaving = append(h.Leaving, leaving) }
}

func (r *roster) hostItem(entry changeEntry, peer *hostRecord, near bool) func(*fleet.Heartbeat) {
	record := r.hosts[entry.host]
	if record == nil || record == peer || record.gone {
		return nil
	}
	t := record.far
	if near {
		t = record.near
	}
	if t.sequence != entry.sequence {
		return nil
	}
	return func(h *fleet.Heartbeat) { h.KnownHosts = append(h.KnownHosts, t.sighting) }
}

func (r *roster) engineItem(entry changeEntry, since uint64, near bool) func(*fleet.Heartbeat) {
	record := r.engines[entry.engine]
	if record == nil || record.sequence() != entry.sequence || !r.tellsEngine(record, near) {
		return nil
	}
	summary := record.summary
	if record.instances <= since {
		summary.InstancesOmitted, summary.Instances = true, nil
	}
	return func(h *fleet.Heartbeat) { h.Engines = append(h.Engines, summary) }
}

// tellsEngine reports whether peers learn of an engine from this host: from its
// owner, or from a host that vouches for the owner.
func (r *roster) tellsEngine(record *engineRecord, near bool) bool {
	if record.summary.Owner == r.self.Name {
		return true
	}
	owner := r.hosts[record.summary.Owner]
	if owner == nil {
		return false
	}
	if near {
		return owner.near.sighting.Host.State == fleet.HostLive
	}
	return owner.far.sighting.Host.State == fleet.HostLive
}

// targets returns the hosts to exchange heartbeats with: all of them, or those
// of the own failure domain and the relays of others.
func (r *roster) targets(now time.Time) []*hostRecord {
	domains := make(map[fleet.FailureDomainName][]*hostRecord)
	var targets []*hostRecord
	for _, record := range r.hosts {
		if record.gone || record.host.PeerAddress == "" {
			continue
		}
		if r.direct || record.host.FailureDomain == r.self.FailureDomain {
			targets = append(targets, record)
			continue
		}
		domains[record.host.FailureDomain] = append(domains[record.host.FailureDomain], record)
	}
	if r.direct {
		return targets
	}
	own := preferLive(append(r.relayCandidates(targets), r.self))
	for domain, records := range domains {
		for _, relay := range Relays(r.self.FailureDomain, domain, own) {
			if relay.Name == r.self.Name {
				targets = append(targets, r.farRelays(domain, records, now)...)
			}
		}
	}
	return targets
}

// relayCandidates returns the hosts of records that are heard, the live ones
// only if there are any: leaving hosts are relays when no others are left.
func (r *roster) relayCandidates(records []*hostRecord) []fleet.Host {
	var heard []fleet.Host
	for _, record := range records {
		if record.status.Reachable {
			heard = append(heard, record.status.Host)
		}
	}
	return preferLive(heard)
}

// preferLive returns the live hosts, or all of them if none is live.
func preferLive(hosts []fleet.Host) []fleet.Host {
	var live []fleet.Host
	for _, host := range hosts {
		if host.State == fleet.HostLive {
			live = append(live, host)
		}
	}
	if len(live) == 0 {
		return hosts
	}
	return live
}

// farRelays returns the relays of another failure domain. When none of its
// hosts is heard, it returns two that change with time, so that a failure
// domain whose hosts were all replaced is found again.
func (r *roster) farRelays(domain fleet.FailureDomainName, records []*hostRecord, now time.Time) []*hostRecord {
	chosen := Relays(r.self.FailureDomain, domain, r.relayCandidates(records))
	if len(chosen) == 0 {
		slices.SortFunc(records, func(a, b *hostRecord) int { return cmp.Compare(a.host.Name, b.host.Name) })
		first := int(now.Unix()) * relaysPerPair % len(records)
		for i := range min(relaysPerPair, len(records)) {
			chosen = append(chosen, records[(first+i)%len(records)].host)
		}
	}
	var targets []*hostRecord
	for _, host := range chosen {
		targets = append(targets, r.hosts[host.Name])
	}
	return targets
}

// view returns the present view. Maps that did not change are shared with the
// last one.
func (r *roster) view(last *View, revision configuration.Revision) *View {
	v := &View{FullMesh: r.direct}
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
			if (record.shown || !isHost) && record.start >= r.servers[name] {
				record.shown = true
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
	r.hostsDirty, r.enginesDirty, r.urgent = false, false, false
	return v
}
