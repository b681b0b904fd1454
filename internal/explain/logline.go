// Package explain tells from log lines of front hosts what happened to one request
// and what the host that had it believed at that time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// A LogLine is one log line.
type LogLine struct {
	// At orders lines: seconds since the Unix epoch, or since the start where a
	// prefix of the line tells them.
	At float64
	// Shown is the time as the line has it.
	Shown   string
	Host    string
	Message string
	// Request is the caller's id of the request, if the line concerns one.
	Request string
	// Fields has the other fields.
	Fields map[string]any
	// order is the place of the line in what was read.
	order int
}

// maximumLine bounds a log line, in bytes.
const maximumLine = 1 << 20

// ReadLogs returns the lines of a log. Lines without a JSON object are left out. A
// line may have a time in seconds and the name of its host before the object.
func ReadLogs(r io.Reader) ([]LogLine, error) {
	var lines []LogLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maximumLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			continue
		}
		if line.Shown == "" && len(lines) > 0 {
			line.At, line.Shown = lines[len(lines)-1].At, lines[len(lines)-1].Shown
		}
		line.order = len(lines)
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

func parse(text []byte) (LogLine, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return LogLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[begin:], &fields) != nil {
		return LogLine{}, false
	}
	line := LogLine{Fields: fields}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line.Host, line.Message, line.Request = take("host"), take("message"), take("request")
	delete(fields, "level")
	line.Shown = take("time")
	if at, err := time.Parse(time.RFC3339, line.Shown); err == nil {
		line.At = float64(at.UnixNano()) / float64(time.Second)
	}
	prefix := strings.Fields(string(text[:begin]))
	if len(prefix) > 0 {
		if at, err := strconv.ParseFloat(prefix[0], 64); err == nil {
			line.At, line.Shown = at, prefix[0]
		}
	}
	if len(prefix) > 1 && line.Host == "" {
		line.Host = prefix[1]
	}
	return line, true
}

// text returns a field as text, or nothing.
func (l *LogLine) text(name string) string {
	switch value := l.Fields[name].(type) {
	case string:
		return value
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64)
	case bool:
		return strconv.FormatBool(value)
	}
	return ""
}

// String returns the line for a reader.
func (l *LogLine) String() string {
	var b strings.Builder
	b.WriteString(l.Shown + " " + l.Host + ": " + l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.text(name); value != "" {
			b.WriteString(" " + name + "=" + value)
		}
	}
	return b.String()
}
