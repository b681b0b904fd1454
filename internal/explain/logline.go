// Package explain finds in the logs of front hosts what happened to one request and
// what the host that had the request knew at that time.
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

// A LogLine is one JSON log line of a front host.
type LogLine struct {
	// At is the time of the line and the sort key: seconds since the Unix epoch, or
	// the number in front of the JSON object, such as seconds since the start of a run.
	At float64
	// Shown is the time in the form in which the line has it.
	Shown string
	// Host is the name of the host that wrote the line.
	Host    string
	Message string
	// Request is the caller's ID of the request that the line is about, or "".
	Request string
	// Fields holds all other fields except the level, by name.
	Fields map[string]any
	// position is the index of the line in its log; it orders lines of equal time.
	position int
}

// maxLineBytes is the longest log line that ReadLogs accepts; a longer one is an
// error.
const maxLineBytes = 1 << 20

// ReadLogs returns the lines of a log. It skips lines without a JSON object. A time in
// seconds and the name of the host may stand before the object; that time takes
// precedence over the time field. A line without a time gets that of the line before.
func ReadLogs(r io.Reader) ([]LogLine, error) {
	var lines []LogLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			continue
		}
		if line.Shown == "" && len(lines) > 0 {
			line.At, line.Shown = lines[len(lines)-1].At, lines[len(lines)-1].Shown
		}
		line.position = len(lines)
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// parseLine returns the log line in text, or false if text has no JSON object.
func parseLine(text []byte) (LogLine, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return LogLine{}, false
	}
	var fields map[string]any
	if json.Unmarshal(text[begin:], &fields) != nil {
		return LogLine{}, false
	}
	line := LogLine{Fields: fields}
	takeString := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line.Host, line.Message, line.Request = takeString("host"), takeString("message"), takeString("request")
	delete(fields, "level")
	line.Shown = takeString("time")
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

// fieldText returns a string, number or boolean field as text, or "" for any other
// field.
func (l *LogLine) fieldText(name string) string {
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

// String returns time, host and message, followed by the fields in order of their
// names.
func (l *LogLine) String() string {
	var b strings.Builder
	b.WriteString(l.Shown + " " + l.Host + ": " + l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := l.fieldText(name); value != "" {
			b.WriteString(" " + name + "=" + value)
		}
	}
	return b.String()
}
