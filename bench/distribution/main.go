// Command distribution measures the spread of configurations and the cost of
// heartbeats in virtual time, on in-memory links. It prints a table and JSON
// lines.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/proto"

	"github.com/persimmonmux/persimmonmux/protocol/peer"
	"github.com/persimmonmux/persimmonmux/standin/deployment"
	"github.com/persimmonmux/persimmonmux/standin/peernetwork"
	"github.com/persimmonmux/persimmonmux/standin/platform"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// settings are the arguments.
type settings struct {
	Sizes   []string `long:"size" description:"failure domains x hosts in each" default:"3x3" default:"3x10" default:"10x10" default:"10x30"`
	Changes int      `long:"changes" description:"changes to measure" default:"100"`
	Direct  int      `long:"push-directly" description:"hosts up to which changes are pushed to all directly; 0 is the default of the product" default:"0"`
	Lost    float64  `long:"lost" description:"probability that a request between hosts is lost while changes are measured" default:"0"`
	Seed    uint64   `long:"seed" description:"seed of the faults" default:"1"`
}

// A result is a line of the output. Times are in milliseconds.
type result struct {
	FailureDomains   int     `json:"failure-domains"`
	Hosts            int     `json:"hosts"`
	Seed             uint64  `json:"seed"`
	Changes          int     `json:"changes"`
	Lost             float64 `json:"lost-requests"`
	P50              float64 `json:"in-force-p50-ms"`
	P99              float64 `json:"in-force-p99-ms"`
	Longest          float64 `json:"in-force-longest-ms"`
	IdleBytes        float64 `json:"idle-bytes-sent-per-host-second"`
	IdleMessages     float64 `json:"idle-messages-sent-per-host-second"`
	LoadBytes        float64 `json:"load-bytes-sent-per-host-second"`
	ChangeBytes      float64 `json:"bytes-sent-per-change"`
	ChangeFarBytes   float64 `json:"bytes-between-regions-per-change"`
	IdleFarBytes     float64 `json:"idle-bytes-between-regions-per-second"`
	TableReads       float64 `json:"table-reads-per-second"`
	TableWrites      float64 `json:"table-writes-per-second-at-one-change-per-second"`
	TableReadsLoaded float64 `json:"table-reads-per-second-at-one-change-per-second"`
}

const (
	// callOverhead is the name of a call and the framing of drpc: three frames
	// of 4 bytes towards the server.
	callOverhead  = len("/persimmonmux.peer.Peer/PushChanges") + 12
	replyOverhead = 8
	settleTime    = 30 * time.Second
	idleTime      = 30 * time.Second
	tableDelay    = 5 * time.Millisecond
	enginesEach   = 1
)

// traffic counts what is sent.
type traffic struct {
	bytes, farBytes, messages atomic.Int64
}

func (t *traffic) observe(from, to fleet.Host, call string, message any) {
	size := int64(sizeOf(call, message))
	t.bytes.Add(size)
	t.messages.Add(1)
	if from.Region != to.Region {
		t.farBytes.Add(size)
	}
}

func sizeOf(call string, message any) int {
	switch m := message.(type) {
	case fleet.Heartbeat:
		return proto.Size(peer.FromHeartbeat(m)) + callOverhead
	case []configuration.Change:
		encoded, err := peer.FromChanges(m)
		if err != nil {
			panic(err)
		}
		return proto.Size(&peer.PushChangesRequest{FirstRevision: 1, Changes: encoded, FromFailureDomain: "domain-0"}) + callOverhead
	case configuration.Revision:
		if call == "pull" {
			return callOverhead + 4
		}
		return replyOverhead + 4
	case peernetwork.PullReply:
		encoded, err := peer.FromChanges(m.Changes)
		if err != nil {
			panic(err)
		}
		snapshot, err := peer.FromConfiguration(m.Snapshot)
		if err != nil {
			panic(err)
		}
		return proto.Size(&peer.PullChangesReply{Revision: 1, Changes: encoded, Snapshot: snapshot}) + replyOverhead
	}
	return 0
}

// delay is the one-way delay of the deployments of today.
func delay(from, to fleet.Host) time.Duration {
	switch {
	case from.FailureDomain == to.FailureDomain:
		return 200 * time.Microsecond
	case from.Region == to.Region:
		return time.Millisecond
	default:
		return 12 * time.Millisecond
	}
}

// measure runs one deployment in virtual time.
func measure(t *testing.T, s settings, domains, hosts int) result {
	r := result{FailureDomains: domains, Hosts: domains * hosts, Seed: s.Seed, Changes: s.Changes, Lost: s.Lost}
	synctest.Test(t, func(t *testing.T) {
		d := deployment.New(s.Seed)
		d.DirectPushHostLimit = s.Direct
		counted := &traffic{}
		d.Network.Delay = delay
		d.Network.Observe = counted.observe
		d.Table.SetFaults(platform.TableFaults{Delay: tableDelay})
		defer d.Close()
		d.StartAll(domains, hosts)
		own(d, 0)
		time.Sleep(settleTime)
		r.idle(d, counted)
		r.loaded(d, counted)
		d.Network.SetFaults(peernetwork.Faults{LostRequest: s.Lost})
		r.changes(t, d, counted, s.Changes)
	})
	return r
}

// own gives each host an engine with 8 instances.
func own(d *deployment.Deployment, load int) {
	for i, m := range d.Members {
		var summaries []fleet.EngineSummary
		for n := range enginesEach {
			summary := fleet.EngineSummary{Engine: fleet.EngineName(fmt.Sprintf("engine-%d-%d", i, n)), Epoch: 1, Version: 1, Start: 1, Running: load}
			for slot := range 8 {
				summary.Instances = append(summary.Instances, fleet.Instance{
					Adapter: fleet.AdapterReference{Name: fleet.AdapterName(fmt.Sprintf("adapter-%05d", slot)), Version: 1}, Epoch: 1,
				})
			}
			summaries = append(summaries, summary)
		}
		m.Monitor.SetEngines(summaries)
	}
}

func (r *result) idle(d *deployment.Deployment, counted *traffic) {
	bytes, far, messages := counted.bytes.Load(), counted.farBytes.Load(), counted.messages.Load()
	_, reads := d.Table.OperationCounts()
	time.Sleep(idleTime)
	_, readsAfter := d.Table.OperationCounts()
	perHost := idleTime.Seconds() * float64(r.Hosts)
	r.IdleBytes = float64(counted.bytes.Load()-bytes) / perHost
	r.IdleMessages = float64(counted.messages.Load()-messages) / perHost
	r.IdleFarBytes = float64(counted.farBytes.Load()-far) / idleTime.Seconds()
	r.TableReads = float64(readsAfter-reads) / idleTime.Seconds()
}

// loaded measures heartbeats while the load of every engine changes each second.
func (r *result) loaded(d *deployment.Deployment, counted *traffic) {
	bytes := counted.bytes.Load()
	const seconds = 10
	for second := range seconds {
		own(d, second+1)
		time.Sleep(time.Second)
	}
	r.LoadBytes = float64(counted.bytes.Load()-bytes) / seconds / float64(r.Hosts)
}

// changes accepts one change each second, at another host each time, and
// measures until it is in force on every host.
func (r *result) changes(t *testing.T, d *deployment.Deployment, counted *traffic, count int) {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	bytes, far := counted.bytes.Load(), counted.farBytes.Load()
	writes, reads := d.Table.OperationCounts()
	began := time.Now()
	for i := range count {
		m := d.Members[i*7919%len(d.Members)]
		accepted, err := m.Distributor.Accept(context.Background(), configuration.Revision(i), configuration.Change{
			Operation: configuration.OperationID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", i)),
			Adapters: map[fleet.AdapterName]configuration.Adapter{
				"adapter-00001": {Name: "adapter-00001", Versions: []fleet.AdapterVersion{1, 2}, Current: 2},
			},
		})
		if err != nil {
			t.Fatalf("accept: %v", err)
		}
		r.await(d, accepted, histogram)
		time.Sleep(time.Second - time.Since(began)%time.Second)
	}
	elapsed := time.Since(began).Seconds()
	writesAfter, readsAfter := d.Table.OperationCounts()
	r.P50 = float64(histogram.ValueAtQuantile(50)) / 1000
	r.P99 = float64(histogram.ValueAtQuantile(99)) / 1000
	r.Longest = float64(histogram.Max()) / 1000
	idleBytes := r.IdleBytes * float64(r.Hosts) * elapsed
	r.ChangeBytes = (float64(counted.bytes.Load()-bytes) - idleBytes) / float64(count)
	r.ChangeFarBytes = (float64(counted.farBytes.Load()-far) - r.IdleFarBytes*elapsed) / float64(count)
	r.TableWrites = float64(writesAfter-writes) / elapsed
	r.TableReadsLoaded = float64(readsAfter-reads) / elapsed
}

// await waits until a revision is in force everywhere and records the time
// until the last host had it. It looks every 100 microseconds of virtual time.
func (r *result) await(d *deployment.Deployment, revision configuration.Revision, histogram *hdrhistogram.Histogram) {
	began := time.Now()
	for _, m := range d.Members {
		for m.Distributor.Revision() < revision {
			time.Sleep(100 * time.Microsecond)
		}
	}
	_ = histogram.RecordValue(max(1, time.Since(began).Microseconds()))
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		os.Exit(2)
	}
	var results []result
	var tests []testing.InternalTest
	for _, size := range s.Sizes {
		var domains, hosts int
		if _, err := fmt.Sscanf(size, "%dx%d", &domains, &hosts); err != nil {
			fmt.Fprintf(os.Stderr, "size %q: must be like 3x10\n", size)
			os.Exit(2)
		}
		tests = append(tests, testing.InternalTest{Name: size, F: func(t *testing.T) {
			r := measure(t, s, domains, hosts)
			results = append(results, r)
		}})
	}
	tests = append(tests, testing.InternalTest{Name: "figures", F: func(*testing.T) { printResults(results) }})
	// Virtual time needs a testing.T, and Main reads the arguments again.
	os.Args = os.Args[:1]
	testing.Main(func(string, string) (bool, error) { return true, nil }, tests, nil, nil)
}

func printResults(results []result) {
	printTable(results)
	encoder := json.NewEncoder(os.Stdout)
	for _, r := range results {
		_ = encoder.Encode(r)
	}
}

func printTable(results []result) {
	fmt.Printf("%7s %6s | %8s %8s %8s | %10s %8s %10s | %10s %10s %10s | %7s %7s %7s\n",
		"domains", "hosts", "p50 ms", "p99 ms", "max ms", "idle B/s", "msg/s", "load B/s", "far B/s", "B/change", "far B/chg", "reads/s", "reads/s", "writes/s")
	for _, r := range results {
		fmt.Printf("%7d %6d | %8.1f %8.1f %8.1f | %10.0f %8.1f %10.0f | %10.0f %10.0f %10.0f | %7.1f %7.1f %7.1f\n",
			r.FailureDomains, r.Hosts, r.P50, r.P99, r.Longest, r.IdleBytes, r.IdleMessages, r.LoadBytes,
			r.IdleFarBytes, r.ChangeBytes, r.ChangeFarBytes, r.TableReads, r.TableReadsLoaded, r.TableWrites)
	}
}
