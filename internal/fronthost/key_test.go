package fronthost_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/fronthost"
	"github.com/persimmonmux/persimmonmux/internal/settings"
	"github.com/persimmonmux/persimmonmux/platform"
	standin "github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/transport/peer"
)

const (
	// firstKey and secondKey are keys of one organisation. Both begin with secretPrefix.
	secretPrefix = "secret-"
	firstKey     = secretPrefix + "first"
	secondKey    = secretPrefix + "second"
	// changeBound is the time within which a removed key has to be refused.
	changeBound = 2500 * time.Millisecond
)

// A keySite is a store, a plain server and hosts that serve it.
type keySite struct {
	*quicktest.C

	store   *httptest.Server
	server  *httptest.Server
	hosts   []settings.Front
	log     lockedBuffer
	version int
	// isRefused says which hosts the store turns away.
	isRefused []atomic.Bool

	mutex sync.Mutex
	// tenants are the values of X-Tenant of the requests that the server got, and leaks what
	// it got of keys.
	tenants, leaks []string
}

// A lockedBuffer collects the log lines of several hosts.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(line)
}

func (b *lockedBuffer) text() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.String()
}

// newKeySite starts a store, a server and the given number of hosts, until the end of the
// test.
func newKeySite(t *testing.T, hosts int) *keySite {
	s := &keySite{C: quicktest.New(t), isRefused: make([]atomic.Bool, hosts)}
	s.store = httptest.NewServer(&standin.Server{Table: standin.NewTable(1), Objects: standin.NewObjectStore(1), Hosts: standin.NewHostList(0), Weights: standin.NewWeightStore(0, 1)})
	s.Cleanup(s.store.Close)
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	s.Cleanup(s.server.Close)
	s.writeRow("servers", "server-0", map[string]any{"backend": "s", "address": s.server.Listener.Addr().String(), "zone": "z", "slots": 8, "state": "ready", "born": 1})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	s.Cleanup(group.Wait)
	s.Cleanup(cancel)
	for n := range hosts {
		store := httptest.NewServer(s.storeFor(n))
		s.Cleanup(store.Close)
		front := settings.Front{
			HostName: fmt.Sprintf("host-%d", n), FailureDomain: "z", Regions: map[string]string{"z": "r"}, CallerAddress: s.freeAddress(), ReadyAddress: s.freeAddress(),
			PeerAddress: s.freeAddress(), MetricsAddress: s.freeAddress(), PlatformAddress: netip.MustParseAddrPort(store.Listener.Addr().String()),
			LogLevel: "debug", MemoryMegabytes: 256, LinkMegabits: 1000, GraceTime: 4 * time.Second, OrderPause: time.Second,
			Repeats: settings.Repeats{Window: 10 * time.Second, Share: 0.2, Slack: 20},
		}
		s.hosts = append(s.hosts, front)
		host := &fronthost.Host{Settings: front, Start: 1, Log: zerolog.New(&s.log).With().Str("host", front.HostName).Logger()}
		group.Go(func() { s.Check(host.Run(ctx), quicktest.IsNil) })
	}
	return s
}

// storeFor returns the store as one host reaches it.
func (s *keySite) storeFor(host int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isRefused[host].Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.store.Config.Handler.ServeHTTP(w, r)
	})
}

// freeAddress returns a loopback address with a free port. The port is below those that
// outgoing connections get, so that none of them takes it before the host listens.
func (s *keySite) freeAddress() netip.AddrPort {
	const firstPort, portCount, tries = 27000, 5000, 100
	for range tries {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+rand.IntN(portCount)))
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			listener.Close()
			return address
		}
	}
	s.Fatal("no free port")
	return netip.AddrPort{}
}

// serve answers a request of a host and records whose it is.
func (s *keySite) serve(w http.ResponseWriter, r *http.Request) {
	content, _ := io.ReadAll(r.Body)
	s.mutex.Lock()
	s.tenants = append(s.tenants, r.Header.Get("X-Tenant"))
	if got := fmt.Sprint(r.Header, r.Trailer, r.RequestURI, string(content)); strings.Contains(got, secretPrefix) {
		s.leaks = append(s.leaks, got)
	}
	s.mutex.Unlock()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Signature", "s")
	_, _ = io.WriteString(w, "ok")
}

// writeRow writes a row of the store.
func (s *keySite) writeRow(table, key string, value any) {
	content, err := json.Marshal(value)
	s.Assert(err, quicktest.IsNil)
	body, err := json.Marshal(map[string]any{"setKeys": []any{map[string]any{"table": table, "key": key, "value": content}}})
	s.Assert(err, quicktest.IsNil)
	r, err := http.NewRequest(http.MethodPut, s.store.URL+standin.PathRows, bytes.NewReader(body))
	s.Assert(err, quicktest.IsNil)
	answer, err := http.DefaultClient.Do(r)
	s.Assert(err, quicktest.IsNil)
	answer.Body.Close()
	s.Assert(answer.StatusCode, quicktest.Equals, http.StatusOK)
}

// writeKeys writes a desired state in which the organisation "buyer" has the keys.
func (s *keySite) writeKeys(keys ...string) {
	s.version++
	s.writeRow("op", "config", map[string]any{
		"version":  s.version,
		"routes":   []any{map[string]any{"name": "r", "hostname": "h.example", "prefix": "/", "routeType": "safe", "backend": "s", "maxAttempts": 2, "timeoutMs": 2000}},
		"backends": []any{map[string]any{"name": "s", "maxConns": 100}},
		"tenants":  []any{map[string]any{"name": "buyer", "apiKeys": keys}},
	})
}

// send sends a request with a key to a host and returns the status; 0 without an answer.
func (s *keySite) send(host int, key string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+s.hosts[host].CallerAddress.String()+"/x", nil)
	s.Assert(err, quicktest.IsNil)
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", "id")
	r.Header.Set("Authorization", "Token "+key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	answer.Body.Close()
	return answer.StatusCode
}

// awaitStatus waits until all hosts answer a key with the status.
func (s *keySite) awaitStatus(key string, status int, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for host := range s.hosts {
		got := s.send(host, key)
		for ; got != status && time.Now().Before(deadline); got = s.send(host, key) {
			time.Sleep(10 * time.Millisecond)
		}
		s.Assert(got, quicktest.Equals, status, quicktest.Commentf("host %d after %s", host, limit))
	}
}

// TestKeysOfHosts guards against a key that a host accepts late or goes on accepting, and
// against keys in what hosts send to servers and to each other, log or count.
func TestKeysOfHosts(t *testing.T) {
	s := newKeySite(t, 2)
	s.writeKeys(firstKey)
	s.awaitStatus(firstKey, http.StatusOK, 15*time.Second)
	s.Check(s.send(0, secretPrefix+"bad"), quicktest.Equals, http.StatusUnauthorized)
	time.Sleep(5 * time.Second)

	s.writeKeys(firstKey, secondKey)
	for host := range s.hosts {
		s.Check(s.send(host, secondKey), quicktest.Equals, http.StatusOK, quicktest.Commentf("host %d does not accept a key that the store has", host))
	}
	s.writeKeys(secondKey)
	s.awaitStatus(firstKey, http.StatusUnauthorized, changeBound)
	s.awaitStatus(secondKey, http.StatusOK, 0)

	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, tenant := range s.tenants {
		s.Check(tenant, quicktest.Equals, "buyer")
	}
	s.Check(s.leaks, quicktest.HasLen, 0)
	s.checkMessages()
	s.Check(strings.Contains(s.log.text(), secretPrefix), quicktest.IsFalse, quicktest.Commentf("%s", s.log.text()))
	s.Check(s.log.text(), quicktest.Contains, "request refused for its key")
}

// awaitOwner waits until all hosts know the owner of the zone and returns its index.
func (s *keySite) awaitOwner(limit time.Duration) int {
	const line = "zone has a new owner"
	for deadline := time.Now().Add(limit); strings.Count(s.log.text(), line) < len(s.hosts); time.Sleep(10 * time.Millisecond) {
		s.Assert(time.Now().Before(deadline), quicktest.IsTrue, quicktest.Commentf("%s", s.log.text()))
	}
	for host, front := range s.hosts {
		if strings.Contains(s.log.text(), `"owner":"`+front.HostName+`"`) {
			return host
		}
	}
	s.Fatalf("no owner: %s", s.log.text())
	return 0
}

// TestKeysOfRefusedHost guards against a host that the store turns away and that accepts a
// removed key, or refuses a new one, for longer than other hosts.
func TestKeysOfRefusedHost(t *testing.T) {
	s := newKeySite(t, 2)
	s.writeKeys(firstKey)
	s.awaitStatus(firstKey, http.StatusOK, 15*time.Second)
	refused := 1 - s.awaitOwner(15*time.Second)
	s.isRefused[refused].Store(true)
	time.Sleep(5 * time.Second)
	s.writeKeys(secondKey)
	s.awaitStatus(firstKey, http.StatusUnauthorized, changeBound)
	s.awaitStatus(secondKey, http.StatusOK, 0)
	s.checkMessages()
}

// TestKeysOfRefusedOwner guards against an owner that the store turns away and that accepts a
// removed key without end, before its lease ends and after that, and against a zone that
// nobody takes over from it.
func TestKeysOfRefusedOwner(t *testing.T) {
	const leaseTime = 13 * time.Second
	s := newKeySite(t, 2)
	s.writeKeys(firstKey)
	s.awaitStatus(firstKey, http.StatusOK, 15*time.Second)
	refused := s.awaitOwner(15 * time.Second)
	s.isRefused[refused].Store(true)
	refusedAt := time.Now()
	time.Sleep(5 * time.Second)
	s.writeKeys(secondKey)
	s.awaitStatus(firstKey, http.StatusUnauthorized, changeBound)
	time.Sleep(time.Until(refusedAt.Add(leaseTime)))
	s.writeKeys(firstKey)
	s.awaitStatus(secondKey, http.StatusUnauthorized, changeBound)
	s.awaitStatus(firstKey, http.StatusOK, 0)

	// The zone is without an owner until the lease of this one and the wait of the next
	// one have ended.
	for isTaken := false; !isTaken; time.Sleep(100 * time.Millisecond) {
		s.Assert(time.Since(refusedAt) < 3*leaseTime, quicktest.IsTrue, quicktest.Commentf("no other host has taken the zone over"))
		isTaken = strings.Contains(s.log.text(), `"owner":"`+s.hosts[1-refused].HostName+`"`)
	}
	t.Logf("zone has a new owner %s after the store turned the last one away", time.Since(refusedAt).Round(time.Second))
	time.Sleep(2 * time.Second)
	s.writeKeys(secondKey)
	s.awaitStatus(firstKey, http.StatusUnauthorized, changeBound)
	s.awaitStatus(secondKey, http.StatusOK, 0)
	s.checkMessages()
}

// checkMessages checks that the replies of hosts to each other and their metrics hold no key.
func (s *keySite) checkMessages() {
	client := &peer.Client{FailureDomain: "z"}
	defer client.Close()
	rows := 0
	for _, host := range s.hosts {
		reply, err := client.Follow(context.Background(), host.PeerAddress.String(), site.FollowRequest{Host: "test", Positions: map[site.Table]site.Position{platform.OperatorTable: 0}})
		s.Assert(err, quicktest.IsNil)
		for _, changes := range reply.Changes {
			for _, row := range changes.Rows {
				rows++
				s.Check(strings.Contains(string(row.Value), secretPrefix), quicktest.IsFalse, quicktest.Commentf("%s", row.Value))
			}
		}
		answer, err := http.Get("http://" + host.MetricsAddress.String() + "/metrics")
		s.Assert(err, quicktest.IsNil)
		text, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		s.Assert(err, quicktest.IsNil)
		s.Check(strings.Contains(string(text), secretPrefix), quicktest.IsFalse)
		s.Check(string(text), quicktest.Contains, "persimmonmux_keys{")
	}
	s.Check(rows > 0, quicktest.IsTrue)
}
