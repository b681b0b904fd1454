package platform

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A HostList is the list of live and leaving hosts. Readers see it as it was one
// lag ago. It is safe for concurrent use.
type HostList struct {
	mutex       sync.Mutex
	lag         time.Duration
	unavailable bool
	hosts       map[string]fleet.ListedHost
	views       []view
}

// A view is the list from one time on.
type view struct {
	from  time.Time
	hosts []fleet.ListedHost
}

// NewHostList returns an empty list with the given lag.
func NewHostList(lag time.Duration) *HostList {
	return &HostList{lag: lag, hosts: make(map[string]fleet.ListedHost)}
}

// Set adds or replaces a host.
func (l *HostList) Set(host fleet.ListedHost) {
	l.change(func() { l.hosts[host.Name] = host })
}

// MarkLeaving marks a host as leaving.
func (l *HostList) MarkLeaving(name string) {
	l.change(func() {
		if host, ok := l.hosts[name]; ok {
			host.State = fleet.HostLeaving
			l.hosts[name] = host
		}
	})
}

// Remove removes a host.
func (l *HostList) Remove(name string) {
	l.change(func() { delete(l.hosts, name) })
}

// SetUnavailable makes Hosts fail, or ends that.
func (l *HostList) SetUnavailable(unavailable bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unavailable = unavailable
}

// Hosts returns the list as it was one lag ago, in the order of the names.
func (l *HostList) Hosts() ([]fleet.ListedHost, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.unavailable {
		return nil, ErrStoreUnavailable
	}
	old := time.Now().Add(-l.lag)
	for len(l.views) > 1 && !l.views[1].from.After(old) {
		l.views = l.views[1:]
	}
	if len(l.views) == 0 || l.views[0].from.After(old) {
		return nil, nil
	}
	return slices.Clone(l.views[0].hosts), nil
}

func (l *HostList) change(apply func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	apply()
	hosts := make([]fleet.ListedHost, 0, len(l.hosts))
	for _, name := range slices.Sorted(maps.Keys(l.hosts)) {
		hosts = append(hosts, l.hosts[name])
	}
	l.views = append(l.views, view{from: time.Now(), hosts: hosts})
}
