package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/entryhost"
	"github.com/persimmonmux/persimmonmux/internal/settings"
	"github.com/persimmonmux/persimmonmux/standin/engine"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/standin/service"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// The sizes, delays and credentials of the demo. hostListDelay is how late the host list
// shows a change.
const (
	hostsPerFailureDomain = 2
	adapterCount          = 40
	tokenInterval         = 5 * time.Millisecond
	hostListDelay         = time.Second
	bearerToken           = "demo-token"
)

// A system is a running deployment: the stand-ins and entry hosts, all in this process and
// on loopback.
type system struct {
	deployment Deployment
	log        zerolog.Logger
	platform   *platform.Server
	engines    []*runningEngine
	services   []*runningService
	initial    *configuration.Configuration

	mutex   sync.Mutex
	hosts   []*runningHost
	servers []*http.Server
	// addresses holds the address of each stand-in by its name.
	addresses map[string]netip.AddrPort
}

// A runningEngine is an engine stand-in that records when the last request arrived.
type runningEngine struct {
	*engine.Engine
	arrivals
	name fleet.EngineName
}

// A runningService is a server stand-in of the plain service that records when the last
// request arrived.
type runningService struct {
	*service.Service
	arrivals
	name string
}

// A runningHost is an entry host with its current process. startHost sets host, cancel and
// ended, which the system's mutex guards.
type runningHost struct {
	settings settings.Settings
	host     *entryhost.Host
	cancel   context.CancelFunc
	ended    chan error
}

// arrivals records when the last request with new work arrived.
type arrivals struct {
	mutex sync.Mutex
	last  time.Time
}

func (a *arrivals) record() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.last = time.Now()
}

func (a *arrivals) lastArrival() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.last
}

// newSystem starts the stand-ins and the entry hosts of a deployment.
func newSystem(deployment Deployment, seed uint64, log zerolog.Logger) (*system, error) {
	s := &system{deployment: deployment, log: log, addresses: make(map[string]netip.AddrPort)}
	s.platform = &platform.Server{
		Table:   platform.NewTable(seed),
		Objects: platform.NewObjectStore(seed),
		Hosts:   platform.NewHostList(hostListDelay),
		Weights: platform.NewWeightStore(deployment.LoadsPerSecond, seed),
	}
	if err := s.serve("platform", s.platform); err != nil {
		return nil, err
	}
	s.initial = s.baseConfiguration()
	for i, domain := range deployment.FailureDomains {
		if err := s.addBackends(i, domain, seed+uint64(i)); err != nil {
			return nil, err
		}
	}
	for _, domain := range deployment.FailureDomains {
		for number := range hostsPerFailureDomain {
			if err := s.addHost(domain, number+1); err != nil {
				return nil, err
			}
		}
	}
	for _, h := range s.hosts {
		s.startHost(h)
	}
	return s, nil
}

// serve serves a handler on a loopback address, which it stores under the name.
func (s *system) serve(name string, handler http.Handler) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return trace.Wrap(err, "listen for %s", name)
	}
	s.addresses[name] = netip.MustParseAddrPort(listener.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Err(err).Str("server", name).Msg("stand-in ended")
		}
	}()
	return nil
}

// addBackends starts an engine and a server of the plain service in a failure domain and
// adds them to the initial configuration and the host list. Every second engine ignores
// fencing numbers.
func (s *system) addBackends(number int, domain FailureDomain, seed uint64) error {
	fencing := fleet.FencingEnforced
	if number%2 == 1 {
		fencing = fleet.FencingIgnored
	}
	e := &runningEngine{
		name: fleet.EngineName(fmt.Sprintf("%s-%d", s.deployment.Pool, number+1)),
		Engine: engine.New(engine.Settings{
			Slots: 8, BatchSize: 16, TokenInterval: tokenInterval, Tokens: 16, Fencing: fencing,
			ReportLag: time.Second, KeepAlive: time.Second, Weights: s.platform.Weights, Seed: seed,
		}),
	}
	if err := s.serve(string(e.name), recordingArrivals(&e.arrivals, e.Engine, "/v1/chat/completions")); err != nil {
		return err
	}
	s.engines = append(s.engines, e)
	s.initial.Engines[e.name] = fleet.Engine{
		Name: e.name, Pool: s.deployment.Pool, FailureDomain: domain.Name, Address: s.addresses[string(e.name)].String(),
		AdapterSlots: 8, BatchSize: 16, Fencing: fencing,
	}
	v := &runningService{name: fmt.Sprintf("%s-%d", s.deployment.Service, number+1)}
	v.Service = service.New(v.name, seed)
	if err := s.serve(v.name, recordingArrivals(&v.arrivals, v.Service, "/")); err != nil {
		return err
	}
	s.services = append(s.services, v)
	group := s.initial.Services[s.deployment.Service]
	group.Name = s.deployment.Service
	group.Servers = append(group.Servers, configuration.Server{Name: v.name, FailureDomain: domain.Name, Address: s.addresses[v.name].String()})
	s.initial.Services[s.deployment.Service] = group
	for _, name := range []string{string(e.name), v.name} {
		s.platform.Hosts.Set(fleet.ListedHost{
			Name: name, Role: fleet.RoleBackend, FailureDomain: domain.Name, Address: s.addresses[name].String(), State: fleet.HostLive,
		})
	}
	return nil
}

// recordingArrivals returns a handler that records requests with the path, or all requests
// if the path is "/", and passes every request on to next.
func recordingArrivals(a *arrivals, next http.Handler, path string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path == "/" || r.URL.Path == path {
			a.record()
		}
		next.ServeHTTP(w, r)
	})
}

// baseConfiguration returns the initial configuration without the backend servers.
func (s *system) baseConfiguration() *configuration.Configuration {
	hash := sha256.Sum256([]byte(bearerToken))
	c := &configuration.Configuration{
		Revision: 1,
		Adapters: make(map[fleet.AdapterName]configuration.Adapter),
		Applications: map[configuration.ApplicationName]configuration.Application{
			"demo": {Name: "demo", TokenHash: hex.EncodeToString(hash[:]), Kinds: []configuration.KindName{s.deployment.Chat, s.deployment.Booking}},
		},
		Kinds: map[configuration.KindName]configuration.Kind{
			s.deployment.Chat: {
				Name: s.deployment.Chat, Urgency: configuration.UrgencyInteractive, Repeat: configuration.RepeatAllowed,
				Timeout: 20 * time.Second, Objective: 0.95,
			},
			s.deployment.Booking: {
				Name: s.deployment.Booking, Urgency: configuration.UrgencyPrompt, Repeat: configuration.RepeatForbidden,
				Timeout: 10 * time.Second, Objective: 0.99,
			},
		},
		Engines:  make(map[fleet.EngineName]fleet.Engine),
		Services: make(map[configuration.ServiceName]configuration.Service),
	}
	for number := range adapterCount {
		name := adapterName(number)
		c.Adapters[name] = configuration.Adapter{Name: name, Versions: []fleet.AdapterVersion{1}, Current: 1}
	}
	return c
}

func adapterName(number int) fleet.AdapterName {
	return fleet.AdapterName(fmt.Sprintf("adapter-%05d", number))
}

// addHost adds a host without starting it. It finds free ports by listening on them once,
// so that a later process of the host has the same addresses.
func (s *system) addHost(domain FailureDomain, number int) error {
	h := &runningHost{settings: settings.Settings{
		HostName:        fleet.HostName(fmt.Sprintf("%s-%d", domain.Name, number)),
		FailureDomain:   domain.Name,
		Region:          domain.Region,
		PlatformAddress: s.addresses["platform"],
		Limits:          settings.Limits{HostConcurrency: 2000, GraceTime: 500 * time.Millisecond, BodySize: 1 << 20, ResponseMemory: 64 << 20},
		Timings: settings.Timings{
			LeaseDuration: 3 * time.Second, LeaseRenewal: 800 * time.Millisecond, LeaseMargin: 300 * time.Millisecond,
			GrantLimit: 30 * time.Second, IsolatedServiceLimit: time.Minute,
		},
		Decisions: settings.Decisions{
			LoadRateShare: s.deployment.LoadsPerSecond / float64(len(s.deployment.FailureDomains)),
			StallWeight:   1, BatchWeight: 1,
		},
	}}
	for _, address := range []*netip.AddrPort{&h.settings.CallerAddress, &h.settings.PeerAddress} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return trace.Wrap(err)
		}
		*address = netip.MustParseAddrPort(listener.Addr().String())
		if err := listener.Close(); err != nil {
			return trace.Wrap(err)
		}
	}
	if len(s.hosts) > 0 {
		h.settings.PeerAddresses = []netip.AddrPort{s.hosts[0].settings.PeerAddress}
	}
	s.hosts = append(s.hosts, h)
	return nil
}

// startHost starts a process of a host, waits until it is assembled and adds it to the
// host list.
func (s *system) startHost(h *runningHost) {
	ctx, cancel := context.WithCancel(context.Background())
	host := &entryhost.Host{
		Settings: h.settings,
		Start:    fleet.StartNumber(time.Now().UnixNano()),
		Initial:  s.initial,
		Log:      s.log.With().Str("host", string(h.settings.HostName)).Logger(),
	}
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	<-host.Ready()
	s.platform.Hosts.Set(fleet.ListedHost{
		Name: string(h.settings.HostName), Role: fleet.RoleEntry, Start: host.Start, FailureDomain: h.settings.FailureDomain,
		Address: h.settings.PeerAddress.String(), State: fleet.HostLive,
	})
	s.mutex.Lock()
	defer s.mutex.Unlock()
	h.host, h.cancel, h.ended = host, cancel, ended
}

// stopHost stops the current process of a host gracefully, waits until it has ended and
// returns its error.
func (s *system) stopHost(h *runningHost) error {
	s.mutex.Lock()
	cancel, ended := h.cancel, h.ended
	s.mutex.Unlock()
	cancel()
	return <-ended
}

// runningHosts returns the current process of each host, in the order of s.hosts.
func (s *system) runningHosts() []*entryhost.Host {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	hosts := make([]*entryhost.Host, len(s.hosts))
	for i, h := range s.hosts {
		hosts[i] = h.host
	}
	return hosts
}

// waitReady waits until every host has the configuration and can send requests to all
// engines.
func (s *system) waitReady(ctx context.Context) error {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		waiting := 0
		for _, host := range s.runningHosts() {
			if host.Revision() == 0 || host.RoutableEngines() < len(s.engines) {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d entry hosts are not ready: %w", waiting, len(s.hosts), ctx.Err())
		case <-ticker.C:
		}
	}
}

// stopHosts stops all entry hosts gracefully at the same time and waits until they have
// ended.
func (s *system) stopHosts() {
	var stops sync.WaitGroup
	for _, h := range s.hosts {
		stops.Go(func() {
			if err := s.stopHost(h); err != nil {
				s.log.Error().Err(err).Str("host", string(h.settings.HostName)).Msg("entry host ended with an error")
			}
		})
	}
	stops.Wait()
}

// close ends the stand-ins. The hosts must have been stopped before.
func (s *system) close() {
	for _, e := range s.engines {
		_ = e.Close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}
