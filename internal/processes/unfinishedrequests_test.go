//go:build processes && linux

package processes_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// crowdLimits are the limits of the machine and of the desired state in these tests.
var crowdLimits = frontLimits{memoryMegabytes: 96, descriptors: 600, headerBytes: 16 << 10, bodyBytes: 1 << 20}

const (
	// crowdSize is the number of callers at the same time that send bodies.
	crowdSize = 160
	// headCrowdSize is the number of callers at the same time that send heads.
	headCrowdSize = 500
	// crowdRounds is how often each caller of a crowd that is refused comes back.
	crowdRounds = 4
	// silentCrowdSize is the number of callers that send nothing.
	silentCrowdSize = 1000
	// sampleInterval is the time between two counts of the open descriptors.
	sampleInterval = 10 * time.Millisecond
	// steadyInterval is how long the memory of a host has to stay the same to count as steady.
	steadyInterval = 500 * time.Millisecond
)

// maxCrowdDescriptors is the bound on open descriptors: an eighth of those of the machine stay free
// for connections to servers.
var maxCrowdDescriptors = crowdLimits.descriptors * 7 / 8

// shortLines returns header lines with different names, of about the given number of bytes.
func shortLines(size int) []byte {
	var text bytes.Buffer
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "X%x:\r\n", i)
	}
	return text.Bytes()
}

// chunks returns a body of the size in chunks of chunkBytes without the last chunk.
func chunks(size, chunkBytes int) []byte {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("a", chunkBytes))
	return bytes.Repeat([]byte(chunk), size/chunkBytes)
}

// A crowd is a number of callers that send the same bytes at the same time and then leave their
// connections open.
type crowd struct {
	address string
	size    int
	// rounds is how often a caller connects again after its connection has ended.
	rounds int
	// head and rest are what each caller sends, the rest in pieces of pieceBytes, or all at once if
	// that is 0.
	head, rest []byte
	pieceBytes int
	// endless callers send the rest again and again until their connection ends.
	endless bool

	mutex sync.Mutex
	conns []net.Conn
	// dialed counts the connections, and failed those that ended before all was sent.
	dialed, failed atomic.Int64
}

// run lets all callers send and returns when each of them has sent everything or has come back often
// enough.
func (c *crowd) run() {
	var callers sync.WaitGroup
	for range c.size {
		callers.Go(func() {
			for range max(c.rounds, 1) {
				if c.send() {
					return
				}
			}
		})
	}
	callers.Wait()
}

// send makes one connection, sends on it and reports whether all was sent and the connection is open.
func (c *crowd) send() bool {
	conn, err := net.DialTimeout("tcp", c.address, maxWait)
	if err != nil {
		c.failed.Add(1)
		return false
	}
	c.dialed.Add(1)
	c.mutex.Lock()
	c.conns = append(c.conns, conn)
	c.mutex.Unlock()
	_ = conn.SetDeadline(time.Now().Add(maxWait))
	if c.write(conn) == nil {
		return true
	}
	c.failed.Add(1)
	_ = conn.Close()
	return false
}

// write sends what a caller of the crowd sends.
func (c *crowd) write(conn net.Conn) error {
	if _, err := conn.Write(c.head); err != nil {
		return err
	}
	for {
		for rest := c.rest; len(rest) > 0; {
			size := len(rest)
			if c.pieceBytes > 0 {
				size = min(size, c.pieceBytes)
			}
			if _, err := conn.Write(rest[:size]); err != nil {
				return err
			}
			rest = rest[size:]
		}
		if !c.endless {
			return nil
		}
	}
}

// close closes all connections of the crowd.
func (c *crowd) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// TestUnfinishedRequestsDoNotEndTheHost guards against callers outside the limits, or many inside
// them that do not finish their requests, who take the memory or the descriptors of a front host, so
// that the host ends or ordinary callers get no answers.
func TestUnfinishedRequestsDoNotEndTheHost(t *testing.T) {
	short := crowdLimits.bodyBytes - 1
	head := requestHead("crowd")
	declared := []byte(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdLimits.bodyBytes))
	chunked := []byte(head + "Transfer-Encoding: chunked\r\n\r\n")
	for _, test := range []struct {
		name  string
		crowd *crowd
	}{
		{"heads over the limit", &crowd{size: headCrowdSize, head: []byte(head), rest: append(shortLines(60<<10), "\r\n"...), rounds: crowdRounds}},
		{"heads without end", &crowd{size: headCrowdSize, head: []byte(head), rest: shortLines(60 << 10), endless: true, rounds: crowdRounds}},
		{"heads that stop over the limit", &crowd{size: headCrowdSize, head: []byte(head), rest: shortLines(60 << 10)}},
		{"one header line without end", &crowd{size: headCrowdSize, head: []byte(head + "X-Long: "), rest: bytes.Repeat([]byte("a"), 60<<10)}},
		{"empty lines without end", &crowd{size: headCrowdSize, rest: bytes.Repeat([]byte("\r\n"), 32<<10), endless: true, rounds: crowdRounds}},
		{"bodies sent at once", &crowd{head: declared, rest: bytes.Repeat([]byte("a"), short)}},
		{"bodies sent in pieces", &crowd{head: declared, rest: bytes.Repeat([]byte("a"), short), pieceBytes: 8 << 10}},
		{"large chunks", &crowd{head: chunked, rest: chunks(short, 64<<10)}},
		{"very small chunks", &crowd{head: chunked, rest: chunks(short, 16)}},
		{"silent connections", &crowd{size: silentCrowdSize}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newFrontDeployment(t, crowdLimits)
			if test.crowd.size == 0 {
				test.crowd.size = crowdSize
			}
			test.crowd.address = d.callerAddress
			d.checkCrowd(test.crowd)
		})
	}
}

// checkCrowd lets the crowd send, and checks that the host lives, that its memory and descriptors
// stay under the bounds of its machine, and that it answers ordinary requests meanwhile and
// afterwards.
func (d *frontDeployment) checkCrowd(crowd *crowd) {
	d.t.Helper()
	before := d.highestResidentBytes()
	stop, sampled := make(chan struct{}), make(chan int)
	go func() { sampled <- d.sampleDescriptors(stop) }()
	crowd.run()
	d.awaitSteadyMemory()
	isAnswered := func() bool { return d.callerStatus() == http.StatusOK }
	await(d.t, "an ordinary request is answered beside the crowd", isAnswered)
	crowd.close()
	await(d.t, "an ordinary request is answered after the crowd", isAnswered)
	close(stop)
	descriptors, resident := <-sampled, d.highestResidentBytes()
	d.t.Logf("%d connections, %d ended early; %d MB resident before, %d MB at most; %d descriptors at most",
		crowd.dialed.Load(), crowd.failed.Load(), before>>20, resident>>20, descriptors)
	select {
	case <-d.host.ended:
		d.t.Errorf("the front host ended: %v", d.host.exitError)
	default:
	}
	qt.Check(d.t, resident <= int64(crowdLimits.memoryMegabytes)<<20, qt.IsTrue, qt.Commentf("%d MB were resident", resident>>20))
	qt.Check(d.t, descriptors <= maxCrowdDescriptors, qt.IsTrue, qt.Commentf("%d descriptors were open", descriptors))
}

// awaitSteadyMemory waits until the memory of the host has stopped growing, which reads on what the
// crowd has sent.
func (d *frontDeployment) awaitSteadyMemory() {
	d.t.Helper()
	for last := int64(-1); ; {
		highest := d.highestResidentBytes()
		if highest == last {
			return
		}
		last = highest
		time.Sleep(steadyInterval)
	}
}

// sampleDescriptors returns the highest number of open descriptors until stop is closed.
func (d *frontDeployment) sampleDescriptors(stop <-chan struct{}) int {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	highest := 0
	for {
		select {
		case <-stop:
			return highest
		case <-ticker.C:
			highest = max(highest, d.openDescriptors())
		}
	}
}

// TestRequestAtTheLimitsIsServed guards against limits for crowds that refuse a single request which
// is as large as the desired state allows.
func TestRequestAtTheLimitsIsServed(t *testing.T) {
	d := newFrontDeployment(t, crowdLimits)
	qt.Check(t, d.statusOf(bytes.Repeat([]byte("a"), crowdLimits.bodyBytes), nil), qt.Equals, http.StatusOK)
	// reservedBytes is what the other header lines of the request take at most.
	const reservedBytes = 500
	header := http.Header{"X-Long": {strings.Repeat("a", crowdLimits.headerBytes-reservedBytes)}}
	qt.Check(t, d.statusOf(nil, header), qt.Equals, http.StatusOK)
}
