package site

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"sync"
	"time"
)

// A RecordKind is the kind of event that a record describes.
type RecordKind string

const (
	// Ran is the start of the run of a request.
	Ran RecordKind = "ran"
	// Ended is the end of a run on an engine.
	Ended RecordKind = "ended"
	// Fault is a protocol violation by the sender of an order, which the server
	// detected itself.
	Fault RecordKind = "fault"
)

// A Record is one event on a server, as a line of its record file. Adapter, Version and
// LastEvent are set for the start of runs on engines, Reason for faults.
type Record struct {
	Kind    RecordKind `json:"kind"`
	At      time.Time  `json:"at"`
	Server  string     `json:"server"`
	Service string     `json:"service,omitempty"`
	// Born is the start of the server's process in Unix milliseconds. It
	// distinguishes the processes that ran under one server id.
	Born    int64  `json:"born"`
	Attempt string `json:"attempt,omitempty"`
	Target  string `json:"target,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version int    `json:"version,omitempty"`
	// LastEvent is the number of the last event that the client of a resumed stream
	// has received; zero for a new stream.
	LastEvent int    `json:"after,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// Organisation is the organisation that the request names. HasKey says that the key of
	// its caller was passed on, too.
	Organisation string `json:"organisation,omitempty"`
	HasKey       bool   `json:"has-key,omitempty"`
}

// A Recorder appends records to a file as JSON lines, so that they outlive the process.
// It is safe for concurrent use.
type Recorder struct {
	mutex sync.Mutex
	file  *os.File
}

// NewRecorder opens the file for appending, and creates it if it does not exist.
func NewRecorder(name string) (*Recorder, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &Recorder{file: file}, err
}

// Add sets the time of a record and writes it. The record is in the kernel when Add
// returns, so that it survives a crash of the process. A write error panics.
func (r *Recorder) Add(record Record) {
	record.At = time.Now()
	line, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, err := r.file.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}

// maxRecordBytes bounds a line of a record file.
const maxRecordBytes = 1 << 20

// ReadRecords returns the records of a file, or none if it does not exist. It skips
// lines that do not decode, because a killed server may leave its last line incomplete.
func ReadRecords(name string) ([]Record, error) {
	file, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // The file was only read.
	var records []Record
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxRecordBytes)
	for lines.Scan() {
		var record Record
		if json.Unmarshal(lines.Bytes(), &record) == nil {
			records = append(records, record)
		}
	}
	return records, lines.Err()
}
