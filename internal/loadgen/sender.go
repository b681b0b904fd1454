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

// maxResponse bounds an answer or a line of a stream.
const maxResponse = 16 << 20 // bytes

// A result is the end of one request.
type result struct {
	kind    string
	verdict verdict.Verdict
	code    verdict.Code
	// latency and first count from the intended start. first is the time to
	// the first chunk, zero without one.
	latency, first time.Duration
	// late is how long after its intended start the request was started.
	late time.Duration
}

// A sender sends the requests of a plan.
type sender struct {
	plan   Plan
	client *http.Client
	// results has room for all requests in flight several times; the report
	// says how many results it refused.
	results *ring.Ring[result]
	places  chan struct{}
}

// sendAll starts each request at its intended time, waits for all answers and
// returns the number of requests.
func (s *sender) sendAll(ctx context.Context) uint64 {
	var requests sync.WaitGroup
	defer requests.Wait()
	sequence := newArrivals(&s.plan)
	start := time.Now()
	pause := time.Duration(0)
	for sent := uint64(0); ; sent++ {
		next := sequence.next()
		pause += next.pause
		// Each request has its own variable, because it reads it when it ends.
		intended := start.Add(pause)
		if intended.Sub(start) > s.plan.Duration {
			return sent
		}
		if !pauseUntil(ctx, intended) {
			return sent
		}
		select {
		case s.places <- struct{}{}:
			requests.Go(func() {
				s.results.Offer(s.send(ctx, next, intended))
				<-s.places
			})
		default:
			s.results.Offer(result{kind: next.kind, verdict: verdict.NotRun, code: codeNotSent})
		}
	}
}

// coarse is the precision of the timers of the Go runtime, with a margin.
const coarse = 2 * time.Millisecond

// pauseUntil waits for a time and reports whether ctx is still alive.
func pauseUntil(ctx context.Context, end time.Time) bool {
	if pause := time.Until(end) - coarse; pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	for pause := time.Until(end); pause > 0 && ctx.Err() == nil; pause = time.Until(end) {
		pauseShort(pause)
	}
	return ctx.Err() == nil
}

func (s *sender) send(ctx context.Context, next arrival, intended time.Time) result {
	ctx, cancel := context.WithTimeout(ctx, s.plan.Timeout)
	defer cancel()
	r := result{kind: next.kind, late: time.Since(intended)}
	r.verdict, r.code = s.exchange(ctx, next, func() { r.first = time.Since(intended) })
	r.latency = time.Since(intended)
	return r
}

// body is a chat completion request.
type body struct {
	Model    string    `json:"model"`
	Stream   bool      `json:"stream,omitempty"`
	Messages []message `json:"messages"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// exchange sends a request and reads its answer. It calls began at the first chunk.
func (s *sender) exchange(ctx context.Context, next arrival, began func()) (verdict.Verdict, verdict.Code) {
	encoded, err := json.Marshal(body{
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
	// Without it, net/http could send the request again by itself.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+s.plan.Token)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Persimmonmux-Request-Id", requestID())
	if next.kind != "" {
		r.Header.Set("Persimmonmux-Kind", next.kind)
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return lost(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK && s.plan.Stream {
		return readStream(resp.Body, began)
	}
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return lost(err)
	}
	if detail, ok := refusal.Decode(content); ok {
		return detail.Verdict, detail.Code
	}
	if resp.StatusCode != http.StatusOK {
		return verdict.Verdict(resp.Header.Get("Persimmonmux-Verdict")), verdict.CodeBackendRefused
	}
	return verdict.Ran, ""
}

// readStream reads a stream to its closing mark.
func readStream(stream io.Reader, began func()) (verdict.Verdict, verdict.Code) {
	reader := chat.NewEventReader(stream, maxResponse)
	for first := true; ; first = false {
		data, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return verdict.MayHaveRun, verdict.CodeIncomplete
		}
		if err != nil {
			return lost(err)
		}
		if string(data) == chat.Done {
			return verdict.Ran, ""
		}
		if detail, ok := refusal.Decode(data); ok {
			return detail.Verdict, detail.Code
		}
		if first {
			began()
		}
	}
}

// lost returns the verdict of a request without an answer. Only a refused dial
// proves that it did not run.
func lost(err error) (verdict.Verdict, verdict.Code) {
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
