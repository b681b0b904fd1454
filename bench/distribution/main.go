// The command distribution measures how fast configuration changes reach all hosts,
// and the traffic of heartbeats, in virtual time on an in-memory network. It prints a
// table and JSON lines.
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

// options are the command line flags.
type options struct {
	Sizes                  []string `long:"size" description:"failure domains x hosts in each" default:"3x3" default:"3x10" default:"10x10" default:"10x30"`
	Changes                int      `long:"changes" description:"changes to measure" default:"100"`
	DirectPushHostLimit    int      `long:"push-directly" description:"hosts up to which changes are pushed to all directly; 0 is the default of the product" default:"0"`
	LostRequestProbability float64  `long:"lost" description:"probability that a request between hosts is lost while changes are measured" default:"0"`
	Seed                   uint64   `long:"seed" description:"seed of the faults" default:"1"`
}

// A result holds the figures of one size of deployment, as written to the JSON lines.
// Times are in milliseconds.
type result struct {
	FailureDomains         int     `json:"failure-domains"`
	Hosts                  int     `json:"hosts"`
	Seed                   uint64  `json:"seed"`
	Changes                int     `json:"changes"`
	LostRequestProbability float64 `json:"lost-requests"`
	P50                    float64 `json:"in-force-p50-ms"`
	P99                    float64 `json:"in-force-p99-ms"`
	Max                    float64 `json:"in-force-longest-ms"`
	IdleBytes              float64 `json:"idle-bytes-sent-per-host-second"`
	IdleMessages           float64 `json:"idle-messages-sent-per-host-second"`
	LoadBytes              float64 `json:"load-bytes-sent-per-host-second"`
	ChangeBytes            float64 `json:"bytes-sent-per-change"`
	ChangeCrossRegionBytes float64 `json:"bytes-between-regions-per-change"`
	IdleCrossRegionBytes   float64 `json:"idle-bytes-between-regions-per-second"`
	TableReads             float64 `json:"table-reads-per-second"`
	TableWrites            float64 `json:"table-writes-per-second-at-one-change-per-second"`
	TableReadsLoaded       float64 `json:"table-reads-per-second-at-one-change-per-second"`
}

const (
	// callOverheadBytes is the size of the name of a call and of the drpc framing
	// towards the server, three frames of 4 bytes.
	callOverheadBytes = len("/persimmonmux.peer.Peer/PushChanges") + 12
	// replyOverheadBytes is the size of the drpc framing of a reply.
	replyOverheadBytes = 8
	// revisionBytes is the size of a message that holds a revision.
	revisionBytes = 4
	// settleDuration is the time after the start of all hosts that is not measured.
	settleDuration = 30 * time.Second
	// idleDuration is the measured time without changes.
	idleDuration = 30 * time.Second
	// tableDelay is the duration of an operation of the table.
	tableDelay     = 5 * time.Millisecond
	enginesPerHost = 1
	slotsPerEngine = 8
	// hostStride is the distance between the indexes of the hosts that accept two
	// successive changes. It is a large prime, so that the changes visit all hosts.
	hostStride = 7919
)

// traffic counts the messages between hosts and their bytes, with a separate count of
// the bytes between regions. Any goroutine may use it.
type traffic struct {
	bytes, crossRegionBytes, messages atomic.Int64
}

// observe counts one message. It is the Observe function of the network.
func (t *traffic) observe(from, to fleet.Host, call string, message any) {
	size := int64(messageSize(call, message))
	t.bytes.Add(size)
	t.messages.Add(1)
	if from.Region != to.Region {
		t.crossRegionBytes.Add(size)
	}
}

// messageSize returns the size in bytes that a message of a call has on the wire.
func messageSize(call string, message any) int {
	switch m := message.(type) {
	case fleet.Heartbeat:
		return proto.Size(peer.FromHeartbeat(m)) + callOverheadBytes
	case []configuration.Change:
		encoded, err := peer.FromChanges(m)
		if err != nil {
			panic(err)
		}
		return proto.Size(&peer.PushChangesRequest{FirstRevision: 1, Changes: encoded, FromFailureDomain: "domain-0"}) + callOverheadBytes
	case configuration.Revision:
		if call == "pull" {
			return callOverheadBytes + revisionBytes
		}
		return replyOverheadBytes + revisionBytes
	case peernetwork.PullReply:
		encoded, err := peer.FromChanges(m.Changes)
		if err != nil {
			panic(err)
		}
		snapshot, err := peer.FromConfiguration(m.Snapshot)
		if err != nil {
			panic(err)
		}
		return proto.Size(&peer.PullChangesReply{Revision: 1, Changes: encoded, Snapshot: snapshot}) + replyOverheadBytes
	}
	return 0
}

// oneWayDelay returns the network delay from one host to another, as in the present
// deployments.
func oneWayDelay(from, to fleet.Host) time.Duration {
	switch {
	case from.FailureDomain == to.FailureDomain:
		return 200 * time.Microsecond
	case from.Region == to.Region:
		return time.Millisecond
	default:
		return 12 * time.Millisecond
	}
}

// measureDeployment runs a deployment with the given number of hosts in each failure
// domain in virtual time and returns its figures.
func measureDeployment(t *testing.T, s options, domains, hosts int) result {
	r := result{FailureDomains: domains, Hosts: domains * hosts, Seed: s.Seed, Changes: s.Changes, LostRequestProbability: s.LostRequestProbability}
	synctest.Test(t, func(t *testing.T) {
		d := deployment.New(s.Seed)
		d.DirectPushHostLimit = s.DirectPushHostLimit
		counted := &traffic{}
		d.Network.Delay = oneWayDelay
		d.Network.Observe = counted.observe
		d.Table.SetFaults(platform.TableFaults{Delay: tableDelay})
		defer d.Close()
		d.StartAll(domains, hosts)
		setEngines(d, 0)
		time.Sleep(settleDuration)
		r.measureIdle(d, counted)
		r.measureLoaded(d, counted)
		d.Network.SetFaults(peernetwork.Faults{LostRequest: s.LostRequestProbability})
		r.measureChanges(t, d, counted, s.Changes)
	})
	return r
}

// setEngines gives each host enginesPerHost engines with slotsPerEngine instances and
// the given number of running requests.
func setEngines(d *deployment.Deployment, running int) {
	for i, m := range d.Members {
		var summaries []fleet.EngineSummary
		for n := range enginesPerHost {
			summary := fleet.EngineSummary{Engine: fleet.EngineName(fmt.Sprintf("engine-%d-%d", i, n)), Epoch: 1, Version: 1, Start: 1, Running: running}
			for slot := range slotsPerEngine {
				summary.Instances = append(summary.Instances, fleet.Instance{
					Adapter: fleet.AdapterReference{Name: fleet.AdapterName(fmt.Sprintf("adapter-%05d", slot)), Version: 1}, Epoch: 1,
				})
			}
			summaries = append(summaries, summary)
		}
		m.Monitor.SetEngines(summaries)
	}
}

// measureIdle measures the traffic and the table reads while nothing changes.
func (r *result) measureIdle(d *deployment.Deployment, counted *traffic) {
	bytes, far, messages := counted.bytes.Load(), counted.crossRegionBytes.Load(), counted.messages.Load()
	_, reads := d.Table.OperationCounts()
	time.Sleep(idleDuration)
	_, readsAfter := d.Table.OperationCounts()
	perHost := idleDuration.Seconds() * float64(r.Hosts)
	r.IdleBytes = float64(counted.bytes.Load()-bytes) / perHost
	r.IdleMessages = float64(counted.messages.Load()-messages) / perHost
	r.IdleCrossRegionBytes = float64(counted.crossRegionBytes.Load()-far) / idleDuration.Seconds()
	r.TableReads = float64(readsAfter-reads) / idleDuration.Seconds()
}

// measureLoaded measures the traffic of heartbeats while the number of running
// requests of every engine changes each second.
func (r *result) measureLoaded(d *deployment.Deployment, counted *traffic) {
	bytes := counted.bytes.Load()
	const seconds = 10
	for second := range seconds {
		setEngines(d, second+1)
		time.Sleep(time.Second)
	}
	r.LoadBytes = float64(counted.bytes.Load()-bytes) / seconds / float64(r.Hosts)
}

// measureChanges makes one change each second, each time at another host, and
// measures the time until it is in force on every host. The traffic of a change is
// the measured traffic without that of an idle deployment.
func (r *result) measureChanges(t *testing.T, d *deployment.Deployment, counted *traffic, count int) {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	bytes, far := counted.bytes.Load(), counted.crossRegionBytes.Load()
	writes, reads := d.Table.OperationCounts()
	began := time.Now()
	for i := range count {
		m := d.Members[i*hostStride%len(d.Members)]
		accepted, err := m.Distributor.Accept(context.Background(), configuration.Revision(i), configuration.Change{
			Operation: configuration.OperationID(fmt.Sprintf("01890a5d-ac96-774b-bcce-%012d", i)),
			Adapters: map[fleet.AdapterName]configuration.Adapter{
				"adapter-00001": {Name: "adapter-00001", Versions: []fleet.AdapterVersion{1, 2}, Current: 2},
			},
		})
		if err != nil {
			t.Fatalf("accept: %v", err)
		}
		r.awaitRevision(d, accepted, histogram)
		time.Sleep(time.Second - time.Since(began)%time.Second)
	}
	elapsed := time.Since(began).Seconds()
	writesAfter, readsAfter := d.Table.OperationCounts()
	r.P50 = float64(histogram.ValueAtQuantile(50)) / 1000
	r.P99 = float64(histogram.ValueAtQuantile(99)) / 1000
	r.Max = float64(histogram.Max()) / 1000
	idleBytes := r.IdleBytes * float64(r.Hosts) * elapsed
	r.ChangeBytes = (float64(counted.bytes.Load()-bytes) - idleBytes) / float64(count)
	r.ChangeCrossRegionBytes = (float64(counted.crossRegionBytes.Load()-far) - r.IdleCrossRegionBytes*elapsed) / float64(count)
	r.TableWrites = float64(writesAfter-writes) / elapsed
	r.TableReadsLoaded = float64(readsAfter-reads) / elapsed
}

// awaitRevision waits until a revision is in force on every host and records the time
// that this took. It checks every 100 microseconds of virtual time.
func (r *result) awaitRevision(d *deployment.Deployment, revision configuration.Revision, histogram *hdrhistogram.Histogram) {
	began := time.Now()
	for _, m := range d.Members {
		for m.Distributor.Revision() < revision {
			time.Sleep(100 * time.Microsecond)
		}
	}
	_ = histogram.RecordValue(max(1, time.Since(began).Microseconds()))
}

func main() {
	var s options
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
			r := measureDeployment(t, s, domains, hosts)
			results = append(results, r)
		}})
	}
	tests = append(tests, testing.InternalTest{Name: "figures", F: func(*testing.T) { printResults(results) }})
	// Virtual time needs a testing.T, which testing.Main provides. Main parses
	// os.Args itself and would reject the flags of this command.
	os.Args = os.Args[:1]
	testing.Main(func(string, string) (bool, error) { return true, nil }, tests, nil, nil)
}

// printResults prints the table and then a JSON line for each result.
func printResults(results []result) {
	printTable(results)
	encoder := json.NewEncoder(os.Stdout)
	for _, r := range results {
		_ = encoder.Encode(r)
	}
}

// printTable prints a readable table with a row for each result.
func printTable(results []result) {
	fmt.Printf("%7s %6s | %8s %8s %8s | %10s %8s %10s | %10s %10s %10s | %7s %7s %7s\n",
		"domains", "hosts", "p50 ms", "p99 ms", "max ms", "idle B/s", "msg/s", "load B/s", "far B/s", "B/change", "far B/chg", "reads/s", "reads/s", "writes/s")
	for _, r := range results {
		fmt.Printf("%7d %6d | %8.1f %8.1f %8.1f | %10.0f %8.1f %10.0f | %10.0f %10.0f %10.0f | %7.1f %7.1f %7.1f\n",
			r.FailureDomains, r.Hosts, r.P50, r.P99, r.Max, r.IdleBytes, r.IdleMessages, r.LoadBytes,
			r.IdleCrossRegionBytes, r.ChangeBytes, r.ChangeCrossRegionBytes, r.TableReads, r.TableReadsLoaded, r.TableWrites)
	}
}
