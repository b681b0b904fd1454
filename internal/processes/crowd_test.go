//go:build processes && linux

package processes_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

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

// crowdLimits are the limits of a host in a test: those of its process, and those of requests.
type crowdLimits struct {
	memoryMegabytes int
	descriptors     int
	headerBytes     int
	bodyBytes       int
}

// A crowdedHost is a host that a crowd calls.
type crowdedHost struct {
	t             *testing.T
	host          *process
	callerAddress string
	limits        crowdLimits
	// ordinaryStatus sends an ordinary request and returns its status, or 0 if it got no answer.
	ordinaryStatus func() int
}

// startWithDescriptors starts the program persimmonmux with a limit of open descriptors.
func startWithDescriptors(t *testing.T, directory, name string, descriptors int, arguments ...string) *process {
	t.Helper()
	shell := []string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors), "sh", filepath.Join(programDirectory, "persimmonmux")}
	return startProcess(t, directory, name, exec.Command("/bin/sh", append(shell, arguments...)...), true)
}

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
	// address is where the callers connect; checkCrowd sets that of callers if it is empty.
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

// A namedCrowd is one of the forms in which callers leave their requests unfinished.
type namedCrowd struct {
	name  string
	crowd *crowd
}

// crowdsOf returns all forms. The head is that of a request without the headers that declare its
// body, which may have bodyBytes.
func crowdsOf(head string, bodyBytes int) []namedCrowd {
	short := bodyBytes - 1
	declared := []byte(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes))
	chunked := []byte(head + "Transfer-Encoding: chunked\r\n\r\n")
	return []namedCrowd{
		{"heads over the limit", &crowd{size: headCrowdSize, head: []byte(head), rest: append(shortLines(60<<10), "\r\n"...), rounds: crowdRounds}},
		{"heads without end", &crowd{size: headCrowdSize, head: []byte(head), rest: shortLines(60 << 10), endless: true, rounds: crowdRounds}},
		{"heads that stop over the limit", &crowd{size: headCrowdSize, head: []byte(head), rest: shortLines(60 << 10)}},
		{"one header line without end", &crowd{size: headCrowdSize, head: []byte(head + "X-Long: "), rest: bytes.Repeat([]byte("a"), 60<<10)}},
		{"empty lines without end", &crowd{size: headCrowdSize, rest: bytes.Repeat([]byte("\r\n"), 32<<10), endless: true, rounds: crowdRounds}},
		{"bodies sent at once", &crowd{size: crowdSize, head: declared, rest: bytes.Repeat([]byte("a"), short)}},
		{"bodies sent in pieces", &crowd{size: crowdSize, head: declared, rest: bytes.Repeat([]byte("a"), short), pieceBytes: 8 << 10}},
		{"large chunks", &crowd{size: crowdSize, head: chunked, rest: chunks(short, 64<<10)}},
		{"very small chunks", &crowd{size: crowdSize, head: chunked, rest: chunks(short, 16)}},
		{"silent connections", &crowd{size: silentCrowdSize}},
	}
}

// checkCrowd lets the crowd send, and checks that the host lives, that its memory and descriptors
// stay under the bounds of its process, and that it answers ordinary requests meanwhile and
// afterwards.
func (h *crowdedHost) checkCrowd(crowd *crowd) {
	h.t.Helper()
	if crowd.address == "" {
		crowd.address = h.callerAddress
	}
	before := h.highestResidentBytes()
	stop, sampled := make(chan struct{}), make(chan int)
	go func() { sampled <- h.sampleDescriptors(stop) }()
	crowd.run()
	h.awaitSteadyMemory()
	isAnswered := func() bool { return h.ordinaryStatus() == http.StatusOK }
	await(h.t, "an ordinary request is answered beside the crowd", isAnswered)
	crowd.close()
	await(h.t, "an ordinary request is answered after the crowd", isAnswered)
	close(stop)
	descriptors, resident := <-sampled, h.highestResidentBytes()
	h.t.Logf("%d connections, %d ended early; %d MB resident before, %d MB at most; %d descriptors at most",
		crowd.dialed.Load(), crowd.failed.Load(), before>>20, resident>>20, descriptors)
	select {
	case <-h.host.ended:
		h.t.Errorf("the host ended: %v", h.host.exitError)
	default:
	}
	qt.Check(h.t, resident <= int64(h.limits.memoryMegabytes)<<20, qt.IsTrue, qt.Commentf("%d MB were resident", resident>>20))
	// An eighth of the descriptors stay free for connections to servers.
	maxDescriptors := h.limits.descriptors * 7 / 8
	qt.Check(h.t, descriptors <= maxDescriptors, qt.IsTrue, qt.Commentf("%d descriptors were open", descriptors))
}

// awaitSteadyMemory waits until the memory of the host has stopped growing, which reads on what the
// crowd has sent.
func (h *crowdedHost) awaitSteadyMemory() {
	h.t.Helper()
	for last := int64(-1); ; {
		highest := h.highestResidentBytes()
		if highest == last {
			return
		}
		last = highest
		time.Sleep(steadyInterval)
	}
}

// sampleDescriptors returns the highest number of open descriptors until stop is closed.
func (h *crowdedHost) sampleDescriptors(stop <-chan struct{}) int {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	highest := 0
	for {
		select {
		case <-stop:
			return highest
		case <-ticker.C:
			highest = max(highest, h.openDescriptors())
		}
	}
}

// highestResidentBytes returns the most memory that the host has had resident so far.
func (h *crowdedHost) highestResidentBytes() int64 {
	h.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.host.command.Process.Pid))
	qt.Assert(h.t, err, qt.IsNil)
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes int64
	_, err = fmt.Sscanf(rest, "%d kB", &kilobytes)
	qt.Assert(h.t, err, qt.IsNil)
	return kilobytes << 10
}

// openDescriptors returns the number of descriptors that the host has open.
func (h *crowdedHost) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.host.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
