package main

import (
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/standin/relay"
)

// A server is the process of a stand-in backend server behind a relay.
type server struct {
	process
	id, service, zone string
	// address is where the process listens, behind the relay.
	address    string
	recordPath string
	relay      *relay.Relay

	mutex sync.Mutex
	// rowSequence counts the rows that were written for the server.
	rowSequence int
	// startMilliseconds is the start of the process in Unix milliseconds.
	startMilliseconds int64
	// startsWithoutModel reports that an engine starts without its base model.
	startsWithoutModel bool
}

// addServer adds a backend server of a service to the deployment and starts it.
func (d *deployment) addServer(id, service, zone string) error {
	address, err := d.freeAddress()
	if err != nil {
		return err
	}
	s := &server{id: id, service: service, zone: zone, recordPath: filepath.Join(d.directory, id+".jsonl")}
	s.process = d.newProcess(id, "standin")
	s.address = address
	if s.relay, err = d.newRelay(address); err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	return d.startServer(s)
}

// startServer starts the process of a server and writes its row.
func (d *deployment) startServer(s *server) error {
	s.mutex.Lock()
	s.startMilliseconds = time.Now().UnixMilli()
	s.arguments = []string{
		"site", "--listen", s.address, "--id", s.id, "--service", s.service, "--record", s.recordPath, "--born", strconv.FormatInt(s.startMilliseconds, 10),
		"--events", strconv.Itoa(eventsPerStream), "--unsound-one-in", strconv.Itoa(unsoundOneIn),
		"--unsound-path", "/" + string(booking) + "/", "--unsound-path", "/" + string(adviser) + "/",
		"--sound-mark=" + recoveryMark, "--varying-speed",
	}
	if s.service == engineService {
		s.arguments = append(s.arguments, "--model", modelName, "--spoiled-one-in", strconv.Itoa(spoiledOneIn))
	}
	if s.startsWithoutModel {
		s.arguments = append(s.arguments, "--empty")
	}
	s.mutex.Unlock()
	if err := s.start(); err != nil {
		return err
	}
	return d.writeServerRow(s, "ready")
}

// writeServerRow writes the next row of a server, with the given state and the
// address of its relay.
func (d *deployment) writeServerRow(s *server, state string) error {
	s.mutex.Lock()
	s.rowSequence++
	held := []any{}
	if s.service == engineService && !s.startsWithoutModel {
		held = append(held, map[string]any{"name": modelName, "version": 1, "adapters": []string{}})
	}
	row := map[string]any{
		"backend": s.service, "address": s.relay.Address, "zone": s.zone, "slots": 8, "state": state,
		"seq": s.rowSequence, "born": s.startMilliseconds, "models": held,
	}
	s.mutex.Unlock()
	return d.setRow("servers", s.id, row)
}
