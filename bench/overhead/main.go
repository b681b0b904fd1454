// The command overhead measures the latency that an entry host adds to a request. It
// compares the time from sending a request until its arrival at a stand-in engine,
// once sent to the engine directly and once through an entry host that gets its grant
// from the engine's owner on another entry host. The engine, the platform and both
// hosts run in this process and communicate over loopback.
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
	// sentAtField is the field of the request body that carries the time of sending
	// in microseconds since 1970. The entry host passes unknown fields on.
	sentAtField = "user"
	// histogramLimitMicroseconds is the highest latency that the histograms record;
	// longer ones are recorded as this value.
	histogramLimitMicroseconds = int64(10 * time.Second / time.Microsecond)
	// readyTimeout is how long the hosts may take to be ready for requests.
	readyTimeout = 30 * time.Second
)

// warmupRequests is the number of requests that are sent before the measurement.
const warmupRequests = 50

// arrivalStream selects the random number stream of the arrivals of a seed.
const arrivalStream = 3

// options are the command line flags.
type options struct {
	Rate     int           `long:"rate" default:"2000" description:"requests per second"`
	Duration time.Duration `long:"duration" default:"5s" description:"length of each phase"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of the arrivals"`
}

// A recorder is the HTTP handler in front of the engine. It records the latencies, in
// microseconds, of the chat requests that reach the engine.
type recorder struct {
	next      http.Handler
	mutex     sync.Mutex
	latencies *hdrhistogram.Histogram
}

// takeHistogram returns the latencies since the last call and starts an empty
// histogram.
func (r *recorder) takeHistogram() *hdrhistogram.Histogram {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	last := r.latencies
	r.latencies = hdrhistogram.New(1, histogramLimitMicroseconds, 3)
	return last
}

// ServeHTTP records the time since a chat request was sent and passes every request
// on to the engine.
func (r *recorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/v1/chat/completions" {
		arrived := time.Now()
		body, err := io.ReadAll(q.Body)
		if err == nil {
			q.Body = io.NopCloser(bytes.NewReader(body))
			r.record(body, arrived)
		}
	}
	r.next.ServeHTTP(w, q)
}

// record adds the latency of a request, unless its body has no time of sending.
func (r *recorder) record(body []byte, arrived time.Time) {
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
	_ = r.latencies.RecordValue(min(max(arrived.UnixMicro()-sent, 1), histogramLimitMicroseconds))
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
	engineRecorder.takeHistogram()
	engineAddress, err := startServer(engineRecorder)
	if err != nil {
		return err
	}
	platformAddress, err := startServer(&platform.Server{
		Table: platform.NewTable(o.Seed), Objects: platform.NewObjectStore(o.Seed),
		Hosts: platform.NewHostList(0), Weights: platform.NewWeightStore(0, o.Seed),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var runningHosts sync.WaitGroup
	initial := initialConfiguration(engineAddress)
	owner, ownerSettings := startHost(ctx, &runningHosts, "owner", "near", platformAddress, netip.AddrPort{}, initial)
	entry, entrySettings := startHost(ctx, &runningHosts, "entry", "far", platformAddress, ownerSettings.PeerAddress, initial)
	if err := waitReady(owner, entry); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	viaEntryHost := target{client: client, address: entrySettings.CallerAddress.String(), model: adapterName + "@1"}
	if err := viaEntryHost.loadAdapter(); err != nil {
		return err
	}
	instances := model.Instances()
	if len(instances) != 1 {
		return fmt.Errorf("engine engine-1 has the instances %v, expected one", instances)
	}
	direct := target{client: client, address: engineAddress.String(), model: instances[0]}
	for _, phase := range []struct {
		name   string
		target target
	}{{"direct to the engine", direct}, {"entry host, owner on another host", viaEntryHost}} {
		engineRecorder.takeHistogram()
		failed := phase.target.sendLoad(o)
		printResult(phase.name, o, engineRecorder.takeHistogram(), failed)
	}
	cancel()
	runningHosts.Wait()
	return nil
}

// startServer serves a handler on a free loopback port until the process ends.
func startServer(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// initialConfiguration returns a configuration with one adapter, one application and
// the engine at an address.
func initialConfiguration(engineAddress netip.AddrPort) *configuration.Configuration {
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

// startHost starts an entry host that runs until ctx ends, and waits until it is
// assembled or has failed to start. A valid peer is the address of another host to
// join.
func startHost(
	ctx context.Context,
	runningHosts *sync.WaitGroup,
	name fleet.HostName,
	domain fleet.FailureDomainName,
	platformAddress, peer netip.AddrPort,
	initial *configuration.Configuration,
) (*entryhost.Host, settings.Settings) {
	callers, peers := listenLoopback(), listenLoopback()
	s := settings.Settings{
		HostName: name, FailureDomain: domain, Region: "region", PlatformAddress: platformAddress,
		CallerAddress: netip.MustParseAddrPort(callers.Addr().String()),
		PeerAddress:   netip.MustParseAddrPort(peers.Addr().String()),
		Limits:        settings.Limits{HostConcurrency: 10000, BodySize: 1 << 20, ResponseMemory: 64 << 20},
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
	runningHosts.Go(func() {
		if err := host.Run(ctx); err != nil {
			fmt.Fprintf(os.Stderr, "overhead: host %s: %v\n", name, err)
		}
	})
	<-host.Ready()
	return host, s
}

// listenLoopback listens on a free loopback port and panics if there is none.
func listenLoopback() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // A benchmark can expect a free loopback port.
	}
	return listener
}

// waitReady waits until each host has a configuration and an engine to route to.
func waitReady(hosts ...*entryhost.Host) error {
	for began := time.Now(); time.Since(began) < readyTimeout; time.Sleep(20 * time.Millisecond) {
		pending := false
		for _, host := range hosts {
			pending = pending || host.Revision() == 0 || host.RoutableEngines() == 0
		}
		if !pending {
			return nil
		}
	}
	return fmt.Errorf("entry hosts were not ready within %s", readyTimeout)
}

// A target is the server and the model name to which a phase sends its requests.
type target struct {
	client  *http.Client
	address string
	model   string
}

// loadAdapter sends requests one by one, so that the engine has loaded the adapter
// before the measurement.
func (t target) loadAdapter() error {
	for range warmupRequests {
		if err := t.send(); err != nil {
			return err
		}
	}
	return nil
}

// send sends one chat request with the time of sending and reads the answer.
func (t target) send() error {
	body := fmt.Sprintf(`{"model":%q,%q:"%d","messages":[{"role":"user","content":"hello"}],"max_tokens":1}`,
		t.model, sentAtField, time.Now().UnixMicro())
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

// sendLoad sends requests as a Poisson process with the rate of the options, without
// waiting for answers, and returns the number that failed.
func (t target) sendLoad(o options) int {
	random := rand.New(rand.NewPCG(o.Seed, arrivalStream))
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

// printResult prints the latencies of a phase as text on standard output and as a JSON
// line on standard error.
func printResult(name string, o options, times *hdrhistogram.Histogram, failed int) {
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
