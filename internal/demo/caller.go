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
	// answerTokens is the length of the answers that callers ask for.
	answerTokens = 16
	// epochLimit is the highest epoch that a check tries; each change of an
	// engine's owner raises it by one.
	epochLimit = 64
	// eventLimit bounds one event of a stream.
	eventLimit = 1 << 20
	// bookingTries is how often a caller sends one booking at most.
	bookingTries = 6
)

// A result is how one try of a request ended for its caller.
type result struct {
	kind    configuration.KindName
	host    fleet.HostName
	verdict verdict.Verdict
	code    verdict.Code
	// cut says that the connection ended without an answer or a refusal.
	cut bool
	// wrong describes an answer that is not the whole answer to the request.
	wrong string
	// first and total count from the start of the try.
	first, total time.Duration
	replayed     bool
}

// A bookingRecord is one request that may not be repeated, with all its tries.
type bookingRecord struct {
	id fleet.RequestID
	// run is the id under which an engine counts it; empty for plain services.
	run   fleet.RequestID
	tries []result
	// started is when the first try began.
	started time.Time
}

// callers sends requests and keeps their results.
type callers struct {
	system *system
	client *http.Client

	mutex    sync.Mutex
	results  []result
	bookings []bookingRecord
	// closed are the hosts that the load balancer sends nothing to.
	closed map[fleet.HostName]bool
}

func newCallers(s *system) *callers {
	return &callers{
		system: s,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		closed: make(map[fleet.HostName]bool),
	}
}

// balance takes a host out of the load balancer, or puts it back.
func (c *callers) balance(host fleet.HostName, open bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed[host] = !open
}

// pick returns a host that takes requests.
func (c *callers) pick(number int) *runningHost {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	hosts := c.system.hosts
	for i := range hosts {
		h := hosts[(number+i)%len(hosts)]
		if !c.closed[h.settings.HostName] {
			return h
		}
	}
	return hosts[number%len(hosts)]
}

func (c *callers) keep(r result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.results = append(c.results, r)
}

// chat sends one streamed request and checks its answer.
func (c *callers) chat(ctx context.Context, number int, adapter fleet.AdapterReference) {
	prompt := fmt.Sprintf("question %d", number)
	body := completionBody(adapter, prompt, true)
	began := time.Now()
	h := c.pick(number)
	r := result{kind: c.system.deployment.Chat, host: h.settings.HostName}
	response, err := c.send(ctx, h, "/v1/chat/completions", r.kind, "", body)
	if err != nil {
		r.cut = true
	} else {
		defer func() { _ = response.Body.Close() }()
		c.readStream(response, &r, began, adapter, prompt)
	}
	r.total = time.Since(began)
	c.keep(r)
}

// readStream reads the events of an answer up to its closing mark.
func (c *callers) readStream(response *http.Response, r *result, began time.Time, adapter fleet.AdapterReference, prompt string) {
	if response.StatusCode != http.StatusOK {
		readRefusal(response, r)
		return
	}
	var id, text string
	finished := false
	events := chat.NewEventReader(response.Body, eventLimit)
	for {
		event, err := events.Next()
		if err != nil {
			r.cut = true
			return
		}
		if r.first == 0 {
			r.first = time.Since(began)
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
			r.wrong = fmt.Sprintf("unexpected chunk %s", event)
			return
		}
		id = chunk.ID
		text += chunk.Choices[0].Delta.Content
		finished = finished || chunk.Choices[0].FinishReason != nil
	}
	r.verdict = verdict.Ran
	if !finished || !expected(text, id, adapter, prompt) {
		r.wrong = fmt.Sprintf("request %q got the text %q", prompt, text)
	}
}

// book sends one request that may not be repeated until its outcome is known.
func (c *callers) book(ctx context.Context, number int, adapter *fleet.AdapterReference) {
	id := fleet.RequestID(uuid.Must(uuid.NewV7()).String())
	record := bookingRecord{id: id, started: time.Now()}
	path, body := "/services/"+string(c.system.deployment.Service)+"/bookings", []byte(fmt.Sprintf(`{"seat":%d}`, number))
	prompt := fmt.Sprintf("booking %d", number)
	if adapter != nil {
		record.run = booking.Key{Application: "demo", Caller: "demo", Request: id}.RunID()
		path, body = "/v1/chat/completions", completionBody(*adapter, prompt, false)
	}
	for try := range bookingTries {
		began := time.Now()
		h := c.pick(number + try)
		r := result{kind: c.system.deployment.Booking, host: h.settings.HostName}
		response, err := c.send(ctx, h, path, r.kind, id, body)
		if err != nil {
			r.cut = true
		} else {
			c.readBooking(response, &r, record, adapter, prompt, body)
		}
		r.total = time.Since(began)
		r.first = r.total
		record.tries = append(record.tries, r)
		if r.verdict == verdict.Ran || ctx.Err() != nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bookings = append(c.bookings, record)
}

func (c *callers) readBooking(response *http.Response, r *result, record bookingRecord, adapter *fleet.AdapterReference, prompt string, sent []byte) {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		readRefusal(response, r)
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.cut = true
		return
	}
	r.verdict = verdict.Ran
	r.replayed = response.Header.Get(entry.HeaderReplayed) == "true"
	if adapter != nil {
		var answer completion
		if json.Unmarshal(body, &answer) != nil || len(answer.Choices) != 1 ||
			!expected(answer.Choices[0].Message.Content, string(record.run), *adapter, prompt) {
			r.wrong = fmt.Sprintf("booking %s got %s", record.id, body)
		}
		return
	}
	var answer struct{ Request, Body string }
	if json.Unmarshal(body, &answer) != nil || answer.Request != string(record.id) || answer.Body != string(sent) {
		r.wrong = fmt.Sprintf("booking %s got %s", record.id, body)
	}
}

func (c *callers) send(ctx context.Context, h *runningHost, path string, kind configuration.KindName, id fleet.RequestID, body []byte) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.CallerAddress.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(entry.HeaderKind, string(kind))
	if id != "" {
		r.Header.Set(entry.HeaderRequestID, string(id))
	}
	return c.client.Do(r)
}

// A completion is an answer or a chunk of one.
type completion struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		Message      struct{ Content string } `json:"message"`
		FinishReason *string                  `json:"finish_reason"`
	} `json:"choices"`
}

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

// expected says whether text is the whole answer of the adapter version to the
// prompt, under any epoch.
func expected(text, id string, adapter fleet.AdapterReference, prompt string) bool {
	answer := engine.Text{Request: id, Prompt: "user: " + prompt + "\n", Length: answerTokens}
	first, _, _ := strings.Cut(text, " ")
	for epoch := fleet.Epoch(1); epoch <= epochLimit; epoch++ {
		answer.Instance = fleet.Instance{Adapter: adapter, Epoch: epoch}.String()
		if strings.TrimSpace(answer.Word(0)) == first {
			return text == answer.String()
		}
	}
	return false
}

func readRefusal(response *http.Response, r *result) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.cut = true
		return
	}
	failure, ok := refusal.Decode(body)
	if !ok {
		r.wrong = fmt.Sprintf("status %d without a refusal: %s", response.StatusCode, body)
		return
	}
	r.verdict, r.code = failure.Verdict, failure.Code
}
