package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// An Explanation is what log lines tell of one request.
type Explanation struct {
	Request string
	// Lines concern the request, in order of time.
	Lines []LogLine
	// HostState are the newest lines, before the request ended, that say what its
	// host believed about the store, the desired state, the servers that it chose
	// and the owners of engines.
	HostState []LogLine
	// Dropped is the number of lines that the host dropped around that time.
	Dropped int
}

// droppedWindow is how long before and after a request dropped lines may concern
// it, in seconds: the number is written with the next line of a later second.
const droppedWindow = 2

// Collect collects the story of a request from the lines of one or more logs.
func Collect(request string, lines []LogLine) *Explanation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b LogLine) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.order, b.order)) })
	s := &Explanation{Request: request}
	for _, line := range lines {
		if line.Request == request {
			s.Lines = append(s.Lines, line)
		}
	}
	if len(s.Lines) == 0 {
		return s
	}
	first, last := s.Lines[0], s.Lines[len(s.Lines)-1]
	beliefs := make(map[string]LogLine)
	for _, line := range lines {
		if line.Host != first.Host {
			continue
		}
		if dropped, ok := line.Fields["dropped"].(float64); ok && line.At >= first.At-droppedWindow && line.At <= last.At+droppedWindow {
			s.Dropped += int(dropped)
		}
		if subject := s.subject(&line); subject != "" && line.At <= last.At {
			beliefs[subject] = line
		}
	}
	for _, line := range beliefs {
		s.HostState = append(s.HostState, line)
	}
	slices.SortFunc(s.HostState, func(a, b LogLine) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.order, b.order)) })
	return s
}

// subject returns what a line tells about, or nothing if it does not concern the
// request. A later line about the same subject replaces an earlier one.
func (s *Explanation) subject(line *LogLine) string {
	switch line.Message {
	case "desired state in force":
		return "desired state"
	case "store lost", "store regained":
		return "store"
	case "zone has a new owner", "zone taken over", "zone lost":
		return "zone " + line.text("zone")
	case "owner lost", "owner regained":
		return "owner " + line.text("owner")
	case "front host started", "front host stops: giving zones up and finishing requests", "settings reloaded; other changes need a restart":
		return "host"
	case "server announced", "server is gone", "engine does not answer", "engine answers again":
		server := cmp.Or(line.text("server"), line.text("engine"))
		if s.chose(server) {
			return "server " + server
		}
	}
	return ""
}

// chose says whether a line of the request names the server.
func (s *Explanation) chose(server string) bool {
	return slices.ContainsFunc(s.Lines, func(line LogLine) bool {
		return server != "" && (line.text("server") == server || line.text("engine") == server)
	})
}

// meanings explain the codes with which requests end; docs/reference/error-codes.md
// has all of them.
var meanings = map[string]string{
	"no-configuration": "the host knew no desired state yet",
	"unknown-name":     "no route of the desired state fits the request's host and path",
	"overloaded":       "no server could take it in time",
	"deadline":         "its time was up",
	"not-owner":        "nobody gives orders to the engines that could load its adapter",
	"no-grant":         "the owner of the engine gave no turn in time",
	"load-failed":      "its adapter was not loaded",
	"unknown-instance": "the engine did not hold its adapter after all",
	"backend-refused":  "the server refused it, or left while it waited",
	"backend-lost":     "the connection to the server failed",
	"incomplete":       "the answer broke off",
	"wrong-instance":   "the answer belonged to another request",
	"canceled":         "its caller left",
}

// ending returns what the last line says of the request's end.
func (s *Explanation) ending() string {
	last := s.Lines[len(s.Lines)-1]
	switch last.Message {
	case "client left":
		return fmt.Sprintf("The caller left after %s ms while the request waited for: %s.", last.text("after"), cmp.Or(last.text("waits"), "nothing known"))
	case "request failed":
		ran := map[string]string{
			"not-run":      "It has not run",
			"ran":          "It ran",
			"may-have-run": "It may have run",
		}[last.text("verdict")]
		return fmt.Sprintf("%s: %s (code %s), after %s ms and %s sends.", cmp.Or(ran, "Its verdict is not known"),
			cmp.Or(meanings[last.text("code")], "see the page of error codes"), last.text("code"), last.text("after"), last.text("sends"))
	}
	return "No line tells of a failed end: it was answered, or the line was dropped."
}

// Write writes the story for a reader.
func (s *Explanation) Write(w io.Writer) {
	if len(s.Lines) == 0 {
		fmt.Fprintf(w, "No line names request %s: it was answered at the first try, its line was dropped, or another host had it.\n", s.Request)
		return
	}
	fmt.Fprintf(w, "Request %s at %s\n\nWhat the host believed:\n", s.Request, s.Lines[0].Host)
	for _, line := range s.HostState {
		fmt.Fprintf(w, "  %s\n", line.String())
	}
	if len(s.HostState) == 0 {
		fmt.Fprintln(w, "  no line tells")
	}
	fmt.Fprintln(w, "\nWhat happened:")
	for _, line := range s.Lines {
		fmt.Fprintf(w, "  %s\n", line.String())
	}
	fmt.Fprintf(w, "\n%s\n", s.ending())
	if s.Dropped > 0 {
		fmt.Fprintf(w, "The host dropped %d log lines around that time, so that steps may be missing.\n", s.Dropped)
	}
}
