package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonmux/persimmonmux/protocol/chat"
	"github.com/persimmonmux/persimmonmux/protocol/refusal"
	"github.com/persimmonmux/persimmonmux/standin/engine"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/entry"
)

const (
	// answerTokens is the length of the answers that callers request, in tokens.
	answerTokens = 16
	// maxEpoch is the highest epoch with which isWholeAnswer compares an answer. Each
	// change of an engine's owner raises the epoch by one.
	maxEpoch = 64
	// maxEventBytes bounds one event of a streamed answer.
	maxEventBytes = 1 << 20
	// maxBookingAttempts bounds how often a caller sends one booking.
	maxBookingAttempts = 6
)

// A result says how one attempt of a request ended for its caller.
type result struct {
	kind    configuration.KindName
	host    fleet.HostName
	verdict verdict.Verdict
	code    verdict.Code
	// cutOff reports whether the connection ended without an answer or a refusal.
	cutOff bool
	// mismatch describes an answer that is not the expected one, and is empty
	// otherwise.
	mismatch string
	// firstByte and total are the times from the start of the attempt to the first
	// event of a stream and to the end. For bookings, firstByte equals total.
	firstByte, total time.Duration
	replayed         bool
}

// A bookingRecord is one request that may not run twice, with the results of all attempts
// to send it. Every attempt has the same request ID.
type bookingRecord struct {
	id fleet.RequestID
	// runID is the ID under which the engines count runs of the booking. It is empty
	// for bookings at the plain service.
	runID    fleet.RequestID
	attempts []result
	// started is when the first attempt began.
	started time.Time
}

// callers sends the requests of the demo's callers and collects their results.
type callers struct {
	system *system
	client *http.Client

	mutex    sync.Mutex
	results  []result
	bookings []bookingRecord
	// removedHosts are the hosts that get no requests, as if a load balancer had taken
	// them out.
	removedHosts map[fleet.HostName]bool
}

func newCallers(s *system) *callers {
	return &callers{
		system:       s,
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		removedHosts: make(map[fleet.HostName]bool),
	}
}

// setReceivesRequests sets whether requests are sent to a host.
func (c *callers) setReceivesRequests(host fleet.HostName, receives bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removedHosts[host] = !receives
}

// pickHost returns the host for a request. It takes the hosts in turn by the number of
// the request and passes over those that get no requests.
func (c *callers) pickHost(number int) *runningHost {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	hosts := c.system.hosts
	for i := range hosts {
		h := hosts[(number+i)%len(hosts)]
		if !c.removedHosts[h.settings.HostName] {
			return h
		}
	}
	return hosts[number%len(hosts)]
}

// addResult adds the result of a chat request.
func (c *callers) addResult(r result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.results = append(c.results, r)
}

// chat sends one chat request, which is answered with a stream, and checks the answer.
func (c *callers) chat(ctx context.Context, number int, adapter fleet.AdapterReference) {
	prompt := fmt.Sprintf("question %d", number)
	body := completionBody(adapter, prompt, true)
	began := time.Now()
	h := c.pickHost(number)
	r := result{kind: c.system.deployment.Chat, host: h.settings.HostName}
	response, err := c.send(ctx, h, "/v1/chat/completions", r.kind, "", body)
	if err != nil {
		r.cutOff = true
	} else {
		defer func() { _ = response.Body.Close() }()
		c.readStream(response, &r, began, adapter, prompt)
	}
	r.total = time.Since(began)
	c.addResult(r)
}

// readStream reads the events of a streamed answer up to its closing mark and sets the
// outcome in r.
func (c *callers) readStream(response *http.Response, r *result, began time.Time, adapter fleet.AdapterReference, prompt string) {
	if response.StatusCode != http.StatusOK {
		readRefusal(response, r)
		return
	}
	var id, text string
	finished := false
	events := chat.NewEventReader(response.Body, maxEventBytes)
	for {
		event, err := events.Next()
		if err != nil {
			r.cutOff = true
			return
		}
		if r.firstByte == 0 {
			r.firstByte = time.Since(began)
		}
		if string(event) == chat.Done {
			break
		}
		if failure, failed := refusal.Decode(event); failed {
			r.verdict, r.code = failure.Verdict, failure.Code
			return
		}
		var chunk completion
		if err := json.Unmarshal(event, &chunk); err != nil || len(chunk.Choices) != 1 || chunk.Model != adapter.String() {
			r.mismatch = fmt.Sprintf("unexpected chunk %s", event)
			return
		}
		id = chunk.ID
		text += chunk.Choices[0].Delta.Content
		finished = finished || chunk.Choices[0].FinishReason != nil
	}
	r.verdict = verdict.Ran
	if !finished || !isWholeAnswer(text, id, adapter, prompt) {
		r.mismatch = fmt.Sprintf("request %q got the text %q", prompt, text)
	}
}

// book sends one booking, to an engine's adapter or, if adapter is nil, to the plain
// service. It repeats the booking under the same request ID until it has run, for at
// most maxBookingAttempts.
func (c *callers) book(ctx context.Context, number int, adapter *fleet.AdapterReference) {
	id := fleet.RequestID(uuid.Must(uuid.NewV7()).String())
	record := bookingRecord{id: id, started: time.Now()}
	path, body := "/services/"+string(c.system.deployment.Service)+"/bookings", []byte(fmt.Sprintf(`{"seat":%d}`, number))
	prompt := fmt.Sprintf("booking %d", number)
	if adapter != nil {
		record.runID = booking.Key{Application: "demo", Caller: "demo", Request: id}.RunID()
		path, body = "/v1/chat/completions", completionBody(*adapter, prompt, false)
	}
	for attempt := range maxBookingAttempts {
		began := time.Now()
		h := c.pickHost(number + attempt)
		r := result{kind: c.system.deployment.Booking, host: h.settings.HostName}
		response, err := c.send(ctx, h, path, r.kind, id, body)
		if err != nil {
			r.cutOff = true
		} else {
			c.readBooking(response, &r, record, adapter, prompt, body)
		}
		r.total = time.Since(began)
		r.firstByte = r.total
		record.attempts = append(record.attempts, r)
		if r.verdict == verdict.Ran || ctx.Err() != nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bookings = append(c.bookings, record)
}

// readBooking reads the response to a booking and sets the outcome in r.
func (c *callers) readBooking(response *http.Response, r *result, record bookingRecord, adapter *fleet.AdapterReference, prompt string, sent []byte) {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		readRefusal(response, r)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.cutOff = true
		return
	}
	r.verdict = verdict.Ran
	r.replayed = response.Header.Get(entry.HeaderReplayed) == "true"
	if adapter != nil {
		var answer completion
		if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 ||
			!isWholeAnswer(answer.Choices[0].Message.Content, string(record.runID), *adapter, prompt) {
			r.mismatch = fmt.Sprintf("booking %s got %s", record.id, body)
		}
		return
	}
	var answer struct{ Request, Body string }
	if json.Unmarshal(body, &answer) != nil || answer.Request != string(record.id) || answer.Body != string(sent) {
		r.mismatch = fmt.Sprintf("booking %s got %s", record.id, body)
	}
}

// send sends a request to a host. With an empty id, the request has no request ID.
func (c *callers) send(ctx context.Context, h *runningHost, path string, kind configuration.KindName, id fleet.RequestID, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.CallerAddress.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+bearerToken)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(entry.HeaderKind, string(kind))
	if id != "" {
		r.Header.Set(entry.HeaderRequestID, string(id))
	}
	return c.client.Do(r)
}

// A completion is a chat completion or a chunk of a streamed one.
type completion struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		Message      struct{ Content string } `json:"message"`
		FinishReason *string                  `json:"finish_reason"`
	} `json:"choices"`
}

// completionBody returns the body of a chat completion request.
func completionBody(adapter fleet.AdapterReference, prompt string, stream bool) []byte {
	body, err := json.Marshal(map[string]any{
		"model":      adapter.String(),
		"stream":     stream,
		"max_tokens": answerTokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		panic(err) // Maps of strings, numbers and booleans always encode.
	}
	return body
}

// isWholeAnswer reports whether text is the whole answer that an engine stand-in gives for
// the adapter version and the prompt, under any epoch up to maxEpoch.
func isWholeAnswer(text, id string, adapter fleet.AdapterReference, prompt string) bool {
	answer := engine.Text{Request: id, Prompt: "user: " + prompt + "\n", Length: answerTokens}
	first, _, _ := strings.Cut(text, " ")
	for epoch := fleet.Epoch(1); epoch <= maxEpoch; epoch++ {
		answer.Instance = fleet.Instance{Adapter: adapter, Epoch: epoch}.String()
		if strings.TrimSpace(answer.Word(0)) == first {
			return text == answer.String()
		}
	}
	return false
}

// readRefusal reads a response that is not an answer and sets the outcome in r.
func readRefusal(response *http.Response, r *result) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.cutOff = true
		return
	}
	failure, ok := refusal.Decode(body)
	if !ok {
		r.mismatch = fmt.Sprintf("status %d without a refusal: %s", response.StatusCode, body)
		return
	}
	r.verdict, r.code = failure.Verdict, failure.Code
}
