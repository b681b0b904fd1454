// The command overhead measures what an entry host adds to a request: the time
// from its arrival to the engine call, with one hop to an owner on another entry
// host, beside a direct call to the same stand-in engine in the same run. All
// processes' parts run in this process on loopback.
package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/internal/entryhost"
	"github.com/persimmonmux/persimmonmux/internal/settings"
	"github.com/persimmonmux/persimmonmux/standin/engine"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

const (
	token       = "bench-token"
	adapterName = "adapter-00000"
	// sentField is the body field that carries the time of sending through the
	// entry host, which keeps unknown fields.
	sentField = "user"
	// histogramLimit is the longest time that the histograms tell apart.
	histogramLimit = int64(10 * time.Second / time.Microsecond)
	readyLimit     = 30 * time.Second
)

// options are the flags.
type options struct {
	Rate     int           `long:"rate" default:"2000" description:"requests per second"`
	Duration time.Duration `long:"duration" default:"5s" description:"length of each phase"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
}

// A recorder notes when requests reach the engine.
type recorder struct {
	next  http.Handler
	mutex sync.Mutex
	times *hdrhistogram.Histogram
}

func (r *recorder) reset() *hdrhistogram.Histogram {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := r.times
	r.times = hdrhistogram.New(1, histogramLimit, 3)
	return last
}

// ServeHTTP counts the time since the request was sent.
func (r *recorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/v1/chat/completions" {
		arrived := time.Now()
		body, err := io.ReadAll(q.Body)
		if err == nil {
			q.Body = io.NopCloser(bytes.NewReader(body))
			r.note(body, arrived)
		}
	}
	r.next.ServeHTTP(w, q)
}

func (r *recorder) note(body []byte, arrived time.Time) {
	var fields struct {
		User string `json:"user"`
	}
	if json.Unmarshal(body, &fields) != nil {
		return
	}
	sent, err := strconv.ParseInt(fields.User, 10, 64)
	if err != nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.times.RecordValue(min(max(arrived.UnixMicro()-sent, 1), histogramLimit))
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintf(os.Stderr, "overhead: %v\n", err)
		os.Exit(1)
	}
}

func run(o options) error {
	model := engine.New(engine.Settings{
		Slots: 8, BatchSize: 1024, TokenInterval: time.Millisecond, Tokens: 1,
		Fencing: fleet.FencingEnforced, ReportLag: time.Second, Seed: o.Seed,
	})
	engineRecorder := &recorder{next: model}
	engineRecorder.reset()
	engineAddress, err := serve(engineRecorder)
	if err != nil {
		return err
	}
	platformAddress, err := serve(&platform.Server{
		Table: platform.NewTable(o.Seed), Objects: platform.NewObjectStore(o.Seed),
		Hosts: platform.NewHostList(0), Weights: platform.NewWeightStore(0, o.Seed),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var ends sync.WaitGroup
	initial := deployment(engineAddress)
	owner, ownerSettings := startHost(ctx, &ends, "owner", "near", platformAddress, netip.AddrPort{}, initial)
	entry, entrySettings := startHost(ctx, &ends, "entry", "far", platformAddress, ownerSettings.PeerAddress, initial)
	if err := ready(owner, entry); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	through := target{client: client, address: entrySettings.CallerAddress.String(), model: adapterName + "@1"}
	if err := through.warm(); err != nil {
		return err
	}
	instances := model.Instances()
	if len(instances) != 1 {
		return fmt.Errorf("engine has the instances %v, expected one", instances)
	}
	direct := target{client: client, address: engineAddress.String(), model: instances[0]}
	for _, phase := range []struct {
		name   string
		target target
	}{{"direct to the engine", direct}, {"entry host, owner on another host", through}} {
		engineRecorder.reset()
		failed := phase.target.load(o)
		report(phase.name, o, engineRecorder.reset(), failed)
	}
	cancel()
	ends.Wait()
	return nil
}

func serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func deployment(engineAddress netip.AddrPort) *configuration.Configuration {
	hash := sha256.Sum256([]byte(token))
	return &configuration.Configuration{
		Adapters: map[fleet.AdapterName]configuration.Adapter{
			adapterName: {Name: adapterName, Versions: []fleet.AdapterVersion{1}, Current: 1},
		},
		Applications: map[configuration.ApplicationName]configuration.Application{
			"bench": {Name: "bench", TokenHash: hex.EncodeToString(hash[:]), Kinds: []configuration.KindName{"chat"}},
		},
		Kinds: map[configuration.KindName]configuration.Kind{
			"chat": {
				Name: "chat", Urgency: configuration.UrgencyInteractive, Repeat: configuration.RepeatAllowed,
				Timeout: 10 * time.Second, Objective: 0.99,
			},
		},
		Engines: map[fleet.EngineName]fleet.Engine{
			"engine-1": {
				Name: "engine-1", Pool: "bench", FailureDomain: "near", Address: engineAddress.String(),
				AdapterSlots: 8, BatchSize: 1024, Fencing: fleet.FencingEnforced,
			},
		},
	}
}

func startHost(
	ctx context.Context,
	ends *sync.WaitGroup,
	name fleet.HostName,
	domain fleet.FailureDomainName,
	platformAddress, peer netip.AddrPort,
	initial *configuration.Configuration,
) (*entryhost.Host, settings.Settings) {
	callers, peers := listen(), listen()
	s := settings.Settings{
		HostName: name, FailureDomain: domain, Region: "region", PlatformAddress: platformAddress,
		CallerAddress: netip.MustParseAddrPort(callers.Addr().String()),
		PeerAddress:   netip.MustParseAddrPort(peers.Addr().String()),
		Limits:        settings.Limits{HostConcurrency: 10000, BodySize: 1 << 20},
		Timings:       settings.Timings{GrantLimit: 2 * time.Minute, IsolatedServiceLimit: 15 * time.Minute},
		Decisions:     settings.Decisions{LoadRateShare: 100, StallWeight: 1, BatchWeight: 1},
	}
	if peer.IsValid() {
		s.PeerAddresses = []netip.AddrPort{peer}
	}
	host := &entryhost.Host{
		Settings: s, Start: fleet.StartNumber(time.Now().UnixNano()), CallerListener: callers, PeerListener: peers,
		Initial: initial, Log: zerolog.New(os.Stderr).Level(zerolog.ErrorLevel),
	}
	ends.Go(func() {
		if err := host.Run(ctx); err != nil {
			fmt.Fprintf(os.Stderr, "overhead: host %s: %v\n", name, err)
		}
	})
	<-host.Ready()
	return host, s
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // Loopback always has a free port for a bench.
	}
	return listener
}

func ready(hosts ...*entryhost.Host) error {
	for began := time.Now(); time.Since(began) < readyLimit; time.Sleep(20 * time.Millisecond) {
		waiting := false
		for _, host := range hosts {
			waiting = waiting || host.Revision() == 0 || host.RoutableEngines() == 0
		}
		if !waiting {
			return nil
		}
	}
	return fmt.Errorf("the hosts were not ready within %s", readyLimit)
}

// A target is where a phase sends its requests.
type target struct {
	client  *http.Client
	address string
	model   string
}

// warm makes the engine load the adapter.
func (t target) warm() error {
	for range 50 {
		if err := t.send(); err != nil {
			return err
		}
	}
	return nil
}

func (t target) send() error {
	body := fmt.Sprintf(`{"model":%q,%q:"%d","messages":[{"role":"user","content":"hello"}],"max_tokens":1}`,
		t.model, sentField, time.Now().UnixMicro())
	r, err := http.NewRequest(http.MethodPost, "http://"+t.address+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("X-Request-Id", strconv.FormatUint(rand.Uint64(), 16))
	response, err := t.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", response.StatusCode, answer)
	}
	return err
}

// load sends requests at random times and returns the number that failed.
func (t target) load(o options) int {
	random := rand.New(rand.NewPCG(o.Seed, 3))
	var requests sync.WaitGroup
	var mutex sync.Mutex
	failed := 0
	began := time.Now()
	for at := time.Duration(0); at < o.Duration; at += time.Duration(random.ExpFloat64() / float64(o.Rate) * float64(time.Second)) {
		time.Sleep(time.Until(began.Add(at)))
		requests.Go(func() {
			if t.send() != nil {
				mutex.Lock()
				failed++
				mutex.Unlock()
			}
		})
	}
	requests.Wait()
	return failed
}

func report(name string, o options, times *hdrhistogram.Histogram, failed int) {
	fmt.Printf("%-36s %6d requests at %d/s, %d failed; arrival at the engine after p50 %5d us, p90 %5d us, p99 %5d us\n",
		name, times.TotalCount(), o.Rate, failed, times.ValueAtPercentile(50), times.ValueAtPercentile(90), times.ValueAtPercentile(99))
	line, err := json.Marshal(map[string]any{
		"bench": "overhead", "phase": name, "rate": o.Rate, "requests": times.TotalCount(), "failed": failed,
		"p50-us": times.ValueAtPercentile(50), "p99-us": times.ValueAtPercentile(99),
	})
	if err == nil {
		fmt.Fprintln(os.Stderr, string(line))
	}
}
