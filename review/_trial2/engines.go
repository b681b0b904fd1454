package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// addEngine starts an engine and writes its row.
func (w *world) addEngine(id, zone string, extra ...string) *process {
	p, writeRow := w.startEngine(id, zone, extra...)
	writeRow()
	return p
}

// startEngine starts an engine and returns the function that writes its row.
func (w *world) startEngine(id, zone string, extra ...string) (p *process, writeRow func()) {
	address, born := w.address(), time.Now().UnixMilli()
	program, err := os.Executable()
	must(err)
	p = w.start(id, append([]string{program, "engine", "--listen", address, "--id", id, "--born", strconv.FormatInt(born, 10)}, extra...)...)
	await(id+" listens", func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil || p.hasEnded()
	})
	models := []any{}
	if len(extra) == 0 || extra[len(extra)-1] != "--empty" {
		models = append(models, map[string]any{"name": "m0", "version": 1, "adapters": []any{}})
	}
	seq := 0
	return p, func() {
		seq++
		w.setRow("servers", id, map[string]any{
			"backend": "writers", "address": address, "zone": zone, "slots": 64, "state": "ready", "seq": seq, "born": born, "models": models,
		})
	}
}

// An engineLine is a line of the record of an engine.
type engineLine struct {
	at   time.Time
	kind string
	rest []string
}

// engineLines returns the records of all engines.
func (w *world) engineLines() []engineLine {
	var lines []engineLine
	files, _ := filepath.Glob(filepath.Join(w.dir, "engine-*.log"))
	for _, file := range files {
		data, err := os.ReadFile(file)
		must(err)
		for line := range strings.Lines(string(data)) {
			fields := strings.Fields(line)
			if len(fields) < 2 {
				continue
			}
			milliseconds, err := strconv.ParseInt(fields[0], 10, 64)
			if err != nil {
				continue
			}
			lines = append(lines, engineLine{time.UnixMilli(milliseconds), fields[1], fields[2:]})
		}
	}
	return lines
}

// copyRecords copies the records of all engines into the record of the case.
func (w *world) copyRecords() {
	for _, line := range w.engineLines() {
		w.note("at an engine, %.3f: %s", line.at.Sub(w.began).Seconds(), fmt.Sprint(line.kind, line.rest))
	}
}
