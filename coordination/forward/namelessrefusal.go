package forward

import (
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// namelessRefusalRetention is how long a server counts as one that refuses without naming requests
// after it has done so.
const namelessRefusalRetention = 10 * time.Minute

// namelessRefusals knows the servers whose refusals do not name their request. On a connection that
// has carried another request such a refusal proves nothing, so that requests that may run once go
// to these servers over new connections. It is safe for concurrent use; its zero value is ready for
// use.
type namelessRefusals struct {
	mutex  sync.Mutex
	seenAt map[site.ServerID]time.Time
}

// record records a refusal of the server.
func (n *namelessRefusals) record(server site.ServerID, now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.seenAt == nil {
		n.seenAt = make(map[site.ServerID]time.Time)
	}
	for other, at := range n.seenAt {
		if now.Sub(at) > namelessRefusalRetention {
			delete(n.seenAt, other)
		}
	}
	n.seenAt[server] = now
}

// has reports whether the server has refused requests so.
func (n *namelessRefusals) has(server site.ServerID, now time.Time) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	at, ok := n.seenAt[server]
	return ok && now.Sub(at) <= namelessRefusalRetention
}
