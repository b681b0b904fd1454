package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	var kilobytes int64
	_, _ = fmt.Sscanf(rest, "%d kB", &kilobytes)
	return kilobytes << 10
}

// unreadBytes returns the bytes that have arrived on the connections of a local port and that its
// process has not read, and the number of the connections.
func unreadBytes(address string) (sum int64, conns int) {
	_, port, _ := net.SplitHostPort(address)
	number, _ := strconv.Atoi(port)
	local := fmt.Sprintf("0100007F:%04X", number)
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, 0
	}
	defer file.Close() //nolint:errcheck // It was only read.
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[1] != local || fields[3] != "01" && fields[3] != "08" {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		waiting, _ := strconv.ParseInt(queue, 16, 64)
		sum += waiting
		conns++
	}
	return sum, conns
}

// crowdMemory lets clients send many large bodies of legal size at once, most of which stop short
// of their end.
func crowdMemory(w *world) bool {
	w.startStore()
	w.writeDesired(3, []any{route("book", "unsafe", "ledger", 1, 6000, false)}, []any{map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 500}})
	w.addService("ledger-1", "ledger", "muc-a", "--slots", "64", "--work", "30ms")
	h := w.addHost("host-1", "muc-a", w.store, 4100)
	await("the host is ready", h.isReady)
	time.Sleep(time.Second)
	limit := int64(284 << 20)
	size, _ := strconv.Atoi(os.Getenv("CROWD"))
	if size == 0 {
		size = 3000
	}
	form := os.Getenv("FORM")
	var stop atomic.Bool
	var dials atomic.Int64
	var group sync.WaitGroup
	if w.hasTrouble {
		for range size {
			group.Go(func() {
				for !stop.Load() {
					dials.Add(1)
					attack(h.callers, form, &stop)
				}
			})
		}
	}
	var most, mostResident, mostUnread int64
	served, asked := 0, 0
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resident := residentBytes(h.command.Process.Pid)
		unread, conns := unreadBytes(h.callers)
		if resident+unread > most {
			most = resident + unread
			w.note("%d MB resident, %d MB unread on %d connections", resident>>20, unread>>20, conns)
		}
		mostResident, mostUnread = max(mostResident, resident), max(mostUnread, unread)
		if int(time.Until(end).Milliseconds()/50)%10 == 0 {
			asked++
			if o := post(w, h.callers, "/book/x", fmt.Sprintf("ordinary%d", asked), 3*time.Second); o.status == 200 && o.complete {
				served++
			}
		}
	}
	stop.Store(true)
	w.say("at most %d MB resident, %d MB unread, %d MB together; limit %d MB; %d connections made; %d of %d ordinary requests served; ended %t",
		mostResident>>20, mostUnread>>20, most>>20, limit>>20, dials.Load(), served, asked, h.hasEnded())
	return most <= limit && !h.hasEnded()
}

var block = []byte(strings.Repeat("a", 64<<10))
var lines = func() []byte {
	var b strings.Builder
	for i := 0; b.Len() < 60<<10; i++ {
		fmt.Fprintf(&b, "X%x:\r\n", i)
	}
	return []byte(b.String())
}()

func attack(address, form string, stop *atomic.Bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close() //nolint:errcheck
	head := "POST /book/x HTTP/1.1\r\nHost: " + callHost + "\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 3000\r\n"
	total := 4194304 - 1
	_ = conn.SetWriteDeadline(time.Now().Add(8 * time.Second))
	switch form {
	case "heads":
		_, _ = conn.Write([]byte(head))
		_, err = conn.Write(lines)
	case "line":
		_, err = conn.Write([]byte(head + "X-Long: " + string(block[:60<<10])))
	case "chunks":
		_, _ = conn.Write([]byte(head + "Transfer-Encoding: chunked\r\n\r\n"))
		for sent := 0; sent < total-64<<10 && err == nil && !stop.Load(); sent += 64 << 10 {
			_, err = conn.Write([]byte("10000\r\n"))
			if err == nil {
				_, err = conn.Write(block)
			}
			if err == nil {
				_, err = conn.Write([]byte("\r\n"))
			}
		}
	default:
		_, _ = conn.Write([]byte(head + "Content-Length: 4194304\r\n\r\n"))
		for sent := 0; sent < total && err == nil && !stop.Load(); {
			n := 0
			n, err = conn.Write(block[:min(len(block), total-sent)])
			sent += n
		}
	}
	// Stay open until the host closes.
	for err == nil && !stop.Load() {
		_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		var one [1]byte
		if _, readErr := conn.Read(one[:]); readErr != nil {
			if t, ok := readErr.(net.Error); ok && t.Timeout() {
				continue
			}
			return
		}
	}
}
