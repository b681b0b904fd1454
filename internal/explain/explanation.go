package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// An Explanation holds the log lines that explain the outcome of one request.
// Collect fills it in.
type Explanation struct {
	// Request is the caller's ID of the request.
	Request string
	// Lines are the lines that have the ID of the request, ordered by time.
	Lines []LogLine
	// HostState shows what the host that had the request knew when the request
	// ended. It has the host's latest line, up to the last of Lines, about each of:
	// the start, stop or reload of the host, the store, the desired state, the
	// servers that Lines name, the zones, and the owners of engines.
	HostState []LogLine
	// Dropped is the number of log lines that the host reported as dropped around
	// the time of the request.
	Dropped int
}

// droppedWindowSeconds is the time before and after a request in which a report of
// dropped lines counts for it. A host reports the number of dropped lines only with
// its next line of a later second.
const droppedWindowSeconds = 2

// Collect returns the explanation of a request from the lines of one or more logs.
// The host of the request is that of the first line that has its ID. Without such a
// line, the explanation has only the ID.
func Collect(request string, lines []LogLine) *Explanation {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b LogLine) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.position, b.position)) })
	e := &Explanation{Request: request}
	for _, line := range lines {
		if line.Request == request {
			e.Lines = append(e.Lines, line)
		}
	}
	if len(e.Lines) == 0 {
		return e
	}
	first, last := e.Lines[0], e.Lines[len(e.Lines)-1]
	latest := make(map[string]LogLine)
	for _, line := range lines {
		if line.Host != first.Host {
			continue
		}
		if dropped, ok := line.Fields["dropped"].(float64); ok && line.At >= first.At-droppedWindowSeconds && line.At <= last.At+droppedWindowSeconds {
			e.Dropped += int(dropped)
		}
		if subject := e.subject(&line); subject != "" && line.At <= last.At {
			latest[subject] = line
		}
	}
	for _, line := range latest {
		e.HostState = append(e.HostState, line)
	}
	slices.SortFunc(e.HostState, func(a, b LogLine) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.position, b.position)) })
	return e
}

// subject returns which part of the host's state a line reports, or "" if that part
// does not matter to the request. Collect keeps only the latest line of each subject.
func (e *Explanation) subject(line *LogLine) string {
	switch line.Message {
	case "desired state in force":
		return "desired state"
	case "store lost", "store regained":
		return "store"
	case "zone has a new owner", "zone taken over", "zone lost":
		return "zone " + line.fieldText("zone")
	case "owner lost", "owner regained":
		return "owner " + line.fieldText("owner")
	case "store and owners do not reply; other hosts are asked", "tables come from the store or an owner again":
		return "source of tables"
	case "front host started", "front host stops: giving zones up and finishing requests", "settings reloaded; other changes need a restart":
		return "host"
	case "server announced", "server is gone", "engine does not answer", "engine answers again":
		server := cmp.Or(line.fieldText("server"), line.fieldText("engine"))
		if e.namesServer(server) {
			return "server " + server
		}
	}
	return ""
}

// namesServer reports whether a line of the request names the server or engine.
func (e *Explanation) namesServer(server string) bool {
	return slices.ContainsFunc(e.Lines, func(line LogLine) bool {
		return server != "" && (line.fieldText("server") == server || line.fieldText("engine") == server)
	})
}

// codeDescriptions describes the error codes that failed requests have in logs of
// front hosts. All codes are in docs/reference/error-codes.md.
var codeDescriptions = map[string]string{
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
	"prompt-blocked":   "engines ended under requests with the same traits",
	"rate-limited":     "the servers state limits of requests a second, and no turn came in time",
	"quota-exceeded":   "its organisation had used up its quota",
}

// keyReasons says why a request was refused for its key, by the reason of its line.
var keyReasons = map[string]string{
	"missing":   "it had no key",
	"unknown":   "no organisation had its key",
	"undecided": "the host did not know its key and had no recent desired state",
}

// outcome returns a sentence on how the request ended, by its last line.
func (e *Explanation) outcome() string {
	last := e.Lines[len(e.Lines)-1]
	switch last.Message {
	case "client left":
		return fmt.Sprintf("The caller left after %s ms while the request waited for: %s.", last.fieldText("after"), cmp.Or(last.fieldText("waits"), "nothing known"))
	case "request refused for its key":
		return fmt.Sprintf("It has not run: %s (code %s), after %s ms.", cmp.Or(keyReasons[last.fieldText("reason")], "its key was refused"),
			last.fieldText("code"), last.fieldText("after"))
	case "request failed":
		ran := map[string]string{
			"not-run":      "It has not run",
			"ran":          "It ran",
			"may-have-run": "It may have run",
		}[last.fieldText("verdict")]
		return fmt.Sprintf("%s: %s (code %s), after %s ms and %s sends.", cmp.Or(ran, "Its verdict is not known"),
			cmp.Or(codeDescriptions[last.fieldText("code")], "see the page of error codes"), last.fieldText("code"), last.fieldText("after"), last.fieldText("sends"))
	}
	return "No line tells of a failed end: it was answered, or the line was dropped."
}

// Write writes the explanation as text: the state of the host, the lines of the
// request and its outcome.
func (e *Explanation) Write(w io.Writer) {
	if len(e.Lines) == 0 {
		fmt.Fprintf(w, "No line names request %s: it was answered at the first try, its line was dropped, or another host had it.\n", e.Request)
		return
	}
	fmt.Fprintf(w, "Request %s at %s\n\nWhat the host believed:\n", e.Request, e.Lines[0].Host)
	for _, line := range e.HostState {
		fmt.Fprintf(w, "  %s\n", line.String())
	}
	if len(e.HostState) == 0 {
		fmt.Fprintln(w, "  no line tells")
	}
	fmt.Fprintln(w, "\nWhat happened:")
	for _, line := range e.Lines {
		fmt.Fprintf(w, "  %s\n", line.String())
	}
	fmt.Fprintf(w, "\n%s\n", e.outcome())
	if e.Dropped > 0 {
		fmt.Fprintf(w, "The host dropped %d log lines around that time, so that steps may be missing.\n", e.Dropped)
	}
}
