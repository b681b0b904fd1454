package quarantine

import (
	"sync"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A watch waits for a block of requests with some traits.
type watch struct {
	service site.ServiceName
	traits  []string
	onBlock func()
}

// A watchList has the watches in force. It is safe for concurrent use.
type watchList struct {
	mutex   sync.Mutex
	watches map[*watch]struct{}
}

// Watch calls onBlock if requests of the service with these traits become blocked
// before stop is called, or are blocked already. onBlock must not wait.
func (q *Quarantine) Watch(service site.ServiceName, traits []string, onBlock func()) (stop func()) {
	w := &watch{service: service, traits: traits, onBlock: onBlock}
	q.watches.add(w)
	if q.BlockedFor(service, traits) > 0 {
		onBlock()
	}
	return func() { q.watches.remove(w) }
}

func (l *watchList) add(w *watch) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.watches == nil {
		l.watches = make(map[*watch]struct{})
	}
	l.watches[w] = struct{}{}
}

func (l *watchList) remove(w *watch) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.watches, w)
}

// notify calls and removes the watches for requests that the blocks refuse.
func (l *watchList) notify(blocks []block) {
	if len(blocks) == 0 {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for w := range l.watches {
		for _, b := range blocks {
			if b.service == w.service && b.matches(w.traits) {
				delete(l.watches, w)
				w.onBlock()
				break
			}
		}
	}
}
