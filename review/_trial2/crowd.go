package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
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

const (
	// memoryLimit is memoryMb of a host of a small site.
	memoryLimit = 284 << 20
	// crowdSize is the number of clients of the crowd. It is below the number of connections that
	// a host with this memory takes by its own bound, 2,272.
	crowdSize = 2200
	// crowdTime is how long the crowd is there.
	crowdTime = 15 * time.Second
	// bodyBytes is maxBodyBytes.
	bodyBytes = 4 << 20
)

// crowdMemory lets clients send many large bodies of legal size at once, which stop just short of
// their end.
func crowdMemory(w *world) bool {
	w.startStore()
	w.writeDesired(3, []any{route("book", "unsafe", "ledger", 1, 6000, false)}, []any{map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 110}})
	w.addService("ledger-1", "ledger", "muc-a", "--slots", "6", "--work", "30ms")
	h := w.addHost("host-1", "muc-a", w.store, 4100)
	await("the host is ready", h.isReady)
	time.Sleep(time.Second)
	var stop atomic.Bool
	var dials atomic.Int64
	if w.hasTrouble {
		for range crowdSize {
			go func() {
				for !stop.Load() {
					dials.Add(1)
					sendUnfinished(h.callers, &stop)
				}
			}()
		}
	}
	var most, mostResident, mostUnread int64
	served, asked := 0, 0
	next := time.Now()
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resident := residentBytes(h.command.Process.Pid)
		unread, conns := unreadBytes(h.callers)
		if resident+unread > most {
			most = resident + unread
			w.note("%d MB resident, %d MB unread on %d connections", resident>>20, unread>>20, conns)
		}
		mostResident, mostUnread = max(mostResident, resident), max(mostUnread, unread)
		if time.Now().After(next) {
			next = time.Now().Add(500 * time.Millisecond)
			asked++
			if o := post(w, h.callers, "/book/x", fmt.Sprintf("ordinary%d", asked), 3*time.Second); o.status == 200 && o.complete {
				served++
			}
		}
	}
	stop.Store(true)
	w.say("at most %d MB resident, %d MB unread, %d MB together; the limit is %d MB", mostResident>>20, mostUnread>>20, most>>20, memoryLimit>>20)
	w.say("%d connections of the crowd; %d of %d ordinary requests served; the host has ended: %t", dials.Load(), served, asked, h.hasEnded())
	return most <= memoryLimit && !h.hasEnded()
}

// block is a piece of a body.
var block = bytes.Repeat([]byte("a"), 64<<10)

// sendUnfinished sends a request without the last byte of its body, and stays until the host closes
// the connection.
func sendUnfinished(address string, stop *atomic.Bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close() //nolint:errcheck // Nothing is lost with it.
	_ = conn.SetWriteDeadline(time.Now().Add(8 * time.Second))
	_, err = fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n", callHost, bodyBytes)
	for left := bodyBytes - 1; left > 0 && err == nil && !stop.Load(); {
		var n int
		n, err = conn.Write(block[:min(len(block), left)])
		left -= n
	}
	for err == nil && !stop.Load() {
		_ = conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		var one [1]byte
		if _, err = conn.Read(one[:]); errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
		}
	}
}
