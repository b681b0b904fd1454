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

// A RecordKind is what a record tells.
type RecordKind string

// The kinds of records.
const (
	// Ran is the beginning of a run.
	Ran RecordKind = "ran"
	// Fault is a broken promise that the server itself has seen.
	Fault RecordKind = "fault"
)

// A Record is one thing that a server did or saw.
type Record struct {
	Kind    RecordKind `json:"kind"`
	At      time.Time  `json:"at"`
	Server  string     `json:"server"`
	Service string     `json:"service,omitempty"`
	// Born tells the processes of a server apart, in Unix milliseconds.
	Born    int64  `json:"born"`
	Attempt string `json:"attempt,omitempty"`
	Target  string `json:"target,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version int    `json:"version,omitempty"`
	// After is the last event that the reader of a resumed stream has.
	After  int    `json:"after,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// A Recorder appends records to a file, which outlives the process.
type Recorder struct {
	mutex sync.Mutex
	file  *os.File
}

// NewRecorder opens the file.
func NewRecorder(name string) (*Recorder, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &Recorder{file: file}, err
}

// Add writes a record. It returns when the kernel has it.
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

// ReadRecords returns the records of a file. A server that was killed may have
// left its last line incomplete.
func ReadRecords(name string) ([]Record, error) {
	file, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // It was only read.
	var records []Record
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var record Record
		if json.Unmarshal(lines.Bytes(), &record) == nil {
			records = append(records, record)
		}
	}
	return records, lines.Err()
}
