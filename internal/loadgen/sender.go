package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/ring"
	"github.com/persimmonmux/persimmonmux/protocol/chat"
	"github.com/persimmonmux/persimmonmux/protocol/refusal"
	"github.com/persimmonmux/persimmonmux/state/verdict"
)

// maxResponseBytes bounds an answer, and one event of a streamed answer.
const maxResponseBytes = 16 << 20

// A result says how one request ended and how long it took.
type result struct {
	kind    string
	verdict verdict.Verdict
	code    verdict.Code
	// latency and firstChunk count from the intended start. firstChunk is the time to
	// the first chunk of a stream, or zero if none arrived.
	latency, firstChunk time.Duration
	// startDelay is how long after its intended start the request was started.
	startDelay time.Duration
}

// A sender sends the requests of a plan. Its fields are set by Run.
type sender struct {
	plan   Plan
	client *http.Client
	// results is the queue to the report. It holds several times as many results as
	// requests can be in flight; the report says how many results found it full.
	results *ring.Ring[result]
	// inFlightSlots holds one element for each request in flight.
	inFlightSlots chan struct{}
}

// sendAll starts each request at its intended time, waits for all answers and
// returns the number of requests.
func (s *sender) sendAll(ctx context.Context) uint64 {
	var requests sync.WaitGroup
	defer requests.Wait()
	upcoming := newArrivals(&s.plan)
	start := time.Now()
	offset := time.Duration(0)
	for sent := uint64(0); ; sent++ {
		next := upcoming.next()
		offset += next.gap
		// Each request needs a variable of its own, because its goroutine still reads
		// it when the request ends.
		intended := start.Add(offset)
		if intended.Sub(start) > s.plan.Duration {
			return sent
		}
		if !sleepUntil(ctx, intended) {
			return sent
		}
		select {
		case s.inFlightSlots <- struct{}{}:
			requests.Go(func() {
				s.results.Offer(s.send(ctx, next, intended))
				<-s.inFlightSlots
			})
		default:
			s.results.Offer(result{kind: next.kind, verdict: verdict.NotRun, code: codeNotSent})
		}
	}
}

// maxRuntimeTimerDelay is how late a timer of the Go runtime may fire, with a margin. The
// last part of a wait, of this length, uses sleepPrecisely.
const maxRuntimeTimerDelay = 2 * time.Millisecond

// sleepUntil sleeps until end or until ctx ends. It reports whether ctx has not ended.
func sleepUntil(ctx context.Context, end time.Time) bool {
	if wait := time.Until(end) - maxRuntimeTimerDelay; wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	for wait := time.Until(end); wait > 0 && ctx.Err() == nil; wait = time.Until(end) {
		sleepPrecisely(wait)
	}
	return ctx.Err() == nil
}

// send sends one request, waits for its answer and returns its result.
func (s *sender) send(ctx context.Context, next arrival, intended time.Time) result {
	ctx, cancel := context.WithTimeout(ctx, s.plan.Timeout)
	defer cancel()
	r := result{kind: next.kind, startDelay: time.Since(intended)}
	r.verdict, r.code = s.exchange(ctx, next, func() { r.firstChunk = time.Since(intended) })
	r.latency = time.Since(intended)
	return r
}

// completionRequest is the body of a chat completion request.
type completionRequest struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream,omitempty"`
	Messages []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// exchange sends a request and reads its answer. It calls onFirstChunk when the first
// chunk of a stream has arrived.
func (s *sender) exchange(ctx context.Context, next arrival, onFirstChunk func()) (verdict.Verdict, verdict.Code) {
	encoded, err := json.Marshal(completionRequest{
		Model: next.adapter, Stream: s.plan.Stream,
		Messages: []message{{Role: "user", Content: "Answer in one word."}},
	})
	if err != nil {
		return verdict.NotRun, verdict.CodeInternal
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.plan.Address+"/v1/chat/completions", bytes.NewReader(encoded))
	if err != nil {
		return verdict.NotRun, verdict.CodeInternal
	}
	// With GetBody, net/http could send the request again by itself.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+s.plan.Token)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Persimmonmux-Request-Id", requestID())
	if next.kind != "" {
		r.Header.Set("Persimmonmux-Kind", next.kind)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return outcomeOfError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK && s.plan.Stream {
		return readStream(resp.Body, onFirstChunk)
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return outcomeOfError(err)
	}
	if detail, ok := refusal.Decode(content); ok {
		return detail.Verdict, detail.Code
	}
	if resp.StatusCode != http.StatusOK {
		return verdict.Verdict(resp.Header.Get("Persimmonmux-Verdict")), verdict.CodeBackendRefused
	}
	return verdict.Ran, ""
}

// readStream reads a streamed answer up to its closing mark. An answer that ends without
// the mark is incomplete.
func readStream(stream io.Reader, onFirstChunk func()) (verdict.Verdict, verdict.Code) {
	reader := chat.NewEventReader(stream, maxResponseBytes)
	for first := true; ; first = false {
		data, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return verdict.MayHaveRun, verdict.CodeIncomplete
		}
		if err != nil {
			return outcomeOfError(err)
		}
		if string(data) == chat.Done {
			return verdict.Ran, ""
		}
		if detail, ok := refusal.Decode(data); ok {
			return detail.Verdict, detail.Code
		}
		if first {
			onFirstChunk()
		}
	}
}

// outcomeOfError returns the verdict and the code of a request that ended with err instead
// of an answer. Only a failed dial proves that the request did not run.
func outcomeOfError(err error) (verdict.Verdict, verdict.Code) {
	var operation *net.OpError
	switch {
	case errors.As(err, &operation) && operation.Op == "dial":
		return verdict.NotRun, verdict.CodeBackendLost
	case errors.Is(err, context.DeadlineExceeded):
		return verdict.MayHaveRun, verdict.CodeDeadline
	case errors.Is(err, context.Canceled):
		return verdict.MayHaveRun, verdict.CodeCanceled
	default:
		return verdict.MayHaveRun, verdict.CodeBackendLost
	}
}
