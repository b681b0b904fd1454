package entry_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/persimmonmux/persimmonmux/coordination/dispatch"
	"github.com/persimmonmux/persimmonmux/protocol/refusal"
	"github.com/persimmonmux/persimmonmux/state/booking"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
	"github.com/persimmonmux/persimmonmux/state/request"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/entry"
)

const (
	token              = "secret-of-the-chat"
	completionRequest  = `{"model":"latin@2","messages":[{"role":"user","content":"salve"}],"seed":7}`
	chunkFormat        = `{"id":"c-1","object":"chat.completion.chunk","model":"latin@2","choices":[{"index":0,"delta":{"content":"%s"}}]}`
	completionResponse = `{"id":"c-1","object":"chat.completion","model":"latin@2","choices":[{"index":0,"finish_reason":"stop","message":{"role":"assistant","content":"ave"}}]}`
)

// A configurationSource always provides the same configuration; nil means none.
type configurationSource struct{ current *configuration.Configuration }

func (s configurationSource) Current() *configuration.Configuration { return s.current }

// dispatcherFunc is a function that implements entry.Dispatcher.
type dispatcherFunc func(ctx context.Context, r *request.Request, sink dispatch.Sink) (request.Response, error)

func (d dispatcherFunc) Dispatch(ctx context.Context, r *request.Request, sink dispatch.Sink) (request.Response, error) {
	return d(ctx, r, sink)
}

// testConfiguration returns one adapter with three versions, an application with two
// kinds, an application whose token hash is malformed, and one plain service.
func testConfiguration() *configuration.Configuration {
	hash := sha256.Sum256([]byte(token))
	return &configuration.Configuration{
		Revision: 1,
		Adapters: map[fleet.AdapterName]configuration.Adapter{
			"latin": {Name: "latin", Versions: []fleet.AdapterVersion{1, 2, 3}, Current: 2},
		},
		Applications: map[configuration.ApplicationName]configuration.Application{
			"chat":   {Name: "chat", TokenHash: hex.EncodeToString(hash[:]), Kinds: []configuration.KindName{"chat", "enrolment"}},
			"broken": {Name: "broken", TokenHash: "zz", Kinds: []configuration.KindName{"chat"}},
		},
		Kinds: map[configuration.KindName]configuration.Kind{
			"chat":      {Name: "chat", Repeat: configuration.RepeatAllowed, Timeout: 20 * time.Second},
			"enrolment": {Name: "enrolment", Repeat: configuration.RepeatForbidden, Timeout: 20 * time.Second},
			"other":     {Name: "other", Repeat: configuration.RepeatAllowed, Timeout: time.Second},
		},
		Services: map[configuration.ServiceName]configuration.Service{"belegung": {Name: "belegung"}},
	}
}

// startServer runs a server, which is closed at the end of the test, and returns
// its base URL.
func startServer(t *testing.T, server *entry.Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server.Listener = listener
	if server.Configuration == nil {
		server.Configuration = configurationSource{testConfiguration()}
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Run(context.Background()) }()
	t.Cleanup(func() {
		qt.Check(t, server.Close(), qt.IsNil)
		qt.Check(t, <-ended, qt.IsNil)
	})
	base := "http://" + listener.Addr().String()
	resp, err := http.Get(base + "/healthz")
	qt.Assert(t, err, qt.IsNil)
	resp.Body.Close()
	return base
}

// sendRequest sends a request with the bearer token and returns the response and
// its body.
func sendRequest(t *testing.T, method, url, content string, header map[string]string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(content))
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+token)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return resp, string(data)
}

// streamWords writes each word to sink as the content of one chunk.
func streamWords(sink dispatch.Sink, words ...string) error {
	for i, word := range words {
		if err := sink.WriteChunk(request.Chunk{Position: i, Data: fmt.Appendf(nil, chunkFormat, word)}); err != nil {
			return verdict.NewMayHaveRun(verdict.CodeCanceled, err, "caller left")
		}
	}
	return nil
}

func newClient(base string) openai.Client {
	return openai.NewClient(option.WithBaseURL(base+"/v1"), option.WithAPIKey(token), option.WithMaxRetries(0))
}

func completionParameters() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "latin@2",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("salve")},
	}
}

// Guards against responses that the OpenAI client library cannot read, and against
// failed streams that it takes for complete ones.
func TestOpenAIClientReadsAnswersAndFailures(t *testing.T) {
	var outcome error
	base := startServer(t, &entry.Server{Dispatcher: dispatcherFunc(func(_ context.Context, r *request.Request, sink dispatch.Sink) (request.Response, error) {
		if !r.Stream {
			return request.Response{Status: 200, Body: []byte(completionResponse)}, outcome
		}
		if err := streamWords(sink, "a", "ve"); err != nil {
			return request.Response{}, err
		}
		return request.Response{Chunks: 2}, outcome
	})})
	api := newClient(base)
	refused := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeOverloaded, Message: "host has no room"}
	for _, test := range []struct {
		name    string
		outcome error
	}{
		{"success", nil},
		{"refusal", refused},
		{"failure without verdict", errors.New("boom")},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			outcome = test.outcome
			got, err := api.Chat.Completions.New(t.Context(), completionParameters())
			var problem *openai.Error
			if test.outcome == nil {
				c.Assert(err, qt.IsNil)
				c.Assert(got.Choices[0].Message.Content, qt.Equals, "ave")
			} else {
				c.Assert(errors.As(err, &problem), qt.IsTrue)
				c.Assert(problem.Code, qt.Equals, string(verdict.FromError(test.outcome).Code))
			}
			events := api.Chat.Completions.NewStreaming(t.Context(), completionParameters())
			text := ""
			for events.Next() {
				text += events.Current().Choices[0].Delta.Content
			}
			c.Assert(text, qt.Equals, "ave")
			c.Assert(events.Err() != nil, qt.Equals, test.outcome != nil)
			if test.outcome != nil {
				c.Assert(events.Err(), qt.ErrorMatches, `(?s).*"verdict":"`+string(verdict.FromError(test.outcome).Verdict)+`".*`)
			}
		})
	}
	list, err := api.Models.List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, list.Data, qt.HasLen, 3)
	one, err := api.Models.Get(t.Context(), "latin")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, one.ID, qt.Equals, "latin@2")
}

// Guards against a failed stream that ends with the [DONE] event, which callers
// would take for a complete one.
func TestFailedStreamHasNoClosingMark(t *testing.T) {
	base := startServer(t, &entry.Server{Dispatcher: dispatcherFunc(func(_ context.Context, _ *request.Request, sink dispatch.Sink) (request.Response, error) {
		_ = streamWords(sink, "a")
		return request.Response{}, verdict.NewMayHaveRun(verdict.CodeBackendLost, nil, "engine lost")
	})})
	resp, got := sendRequest(t, "POST", base+"/v1/chat/completions", strings.Replace(completionRequest, "{", `{"stream":true,`, 1), nil)
	qt.Assert(t, resp.StatusCode, qt.Equals, 200)
	qt.Assert(t, strings.Contains(got, "[DONE]"), qt.IsFalse)
	qt.Assert(t, strings.Contains(got, `"code":"backend-lost","verdict":"may-have-run"`), qt.IsTrue)
}

// Guards against invalid requests that reach the dispatcher or get a refusal with
// the wrong status, code or verdict.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	base := startServer(t, &entry.Server{Dispatcher: dispatcherFunc(func(context.Context, *request.Request, dispatch.Sink) (request.Response, error) {
		t.Error("an invalid request reached the dispatcher")
		return request.Response{}, nil
	})})
	completions := "/v1/chat/completions"
	streamed := strings.Replace(completionRequest, "{", `{"stream":true,`, 1)
	v4, v7 := uuid.NewString(), uuid.Must(uuid.NewV7()).String()
	for _, test := range []struct {
		name, method, path, body string
		header                   map[string]string
		status                   int
		code                     verdict.Code
	}{
		{"no token", "POST", completions, completionRequest, map[string]string{"Authorization": ""}, 401, verdict.CodeUnauthorized},
		{"wrong token", "POST", completions, completionRequest, map[string]string{"Authorization": "Bearer x"}, 401, verdict.CodeUnauthorized},
		{"wrong scheme", "POST", completions, completionRequest, map[string]string{"Authorization": "Basic " + token}, 401, verdict.CodeUnauthorized},
		{"broken JSON", "POST", completions, `{"model":`, nil, 400, verdict.CodeMalformed},
		{"no body", "POST", completions, "", nil, 400, verdict.CodeMalformed},
		{"two models", "POST", completions, `{"model":"latin","model":"latin@1","messages":[]}`, nil, 400, verdict.CodeMalformed},
		{"body over the limit", "POST", completions, strings.Repeat("x", entry.DefaultBodyLimit+1), nil, 413, verdict.CodeTooLarge},
		{"unknown adapter", "POST", completions, strings.Replace(completionRequest, "latin", "greek", 1), nil, 404, verdict.CodeUnknownAdapter},
		{"unknown version", "POST", completions, strings.Replace(completionRequest, "@2", "@9", 1), nil, 404, verdict.CodeUnknownAdapter},
		{"version that is no number", "POST", completions, strings.Replace(completionRequest, "@2", "@x", 1), nil, 404, verdict.CodeUnknownAdapter},
		{"instance in place of adapter", "POST", completions, strings.Replace(completionRequest, "@2", "@2#7", 1), nil, 404, verdict.CodeUnknownAdapter},
		{"unknown kind", "POST", completions, completionRequest, map[string]string{entry.HeaderKind: "nap"}, 400, verdict.CodeUnknownKind},
		{"kind of another application", "POST", completions, completionRequest, map[string]string{entry.HeaderKind: "other"}, 400, verdict.CodeUnknownKind},
		{"booking without id", "POST", completions, completionRequest, map[string]string{entry.HeaderKind: "enrolment"}, 400, verdict.CodeRequestID},
		{"booking with version 4", "POST", completions, completionRequest, map[string]string{entry.HeaderKind: "enrolment", entry.HeaderRequestID: v4}, 400, verdict.CodeRequestID},
		{"booking with another form of the id", "POST", completions, completionRequest, map[string]string{entry.HeaderKind: "enrolment", entry.HeaderRequestID: "{" + v7 + "}"}, 400, verdict.CodeRequestID},
		{"booking streamed", "POST", completions, streamed, map[string]string{entry.HeaderKind: "enrolment", entry.HeaderRequestID: v7}, 400, verdict.CodeMalformed},
		{"id that is no UUID", "POST", completions, completionRequest, map[string]string{entry.HeaderRequestID: "1"}, 400, verdict.CodeRequestID},
		{"timeout zero", "POST", completions, completionRequest, map[string]string{entry.HeaderTimeoutMs: "0"}, 400, verdict.CodeMalformed},
		{"timeout with unit", "POST", completions, completionRequest, map[string]string{entry.HeaderTimeoutMs: "3s"}, 400, verdict.CodeMalformed},
		{"caller too long", "POST", completions, completionRequest, map[string]string{entry.HeaderCaller: strings.Repeat("x", 300)}, 400, verdict.CodeMalformed},
		{"unknown service", "GET", "/services/nothing/x", "", nil, 404, verdict.CodeUnknownService},
		{"dot segments", "GET", "/services/belegung/a/%2e%2e/b", "", nil, 400, verdict.CodeMalformed},
		{"unknown model", "GET", "/v1/models/greek", "", nil, 404, verdict.CodeUnknownAdapter},
		{"unknown path", "GET", "/v2", "", nil, 404, verdict.CodeMalformed},
		{"wrong method", "GET", completions, "", nil, 405, verdict.CodeMalformed},
	} {
		t.Run(test.name, func(t *testing.T) {
			resp, got := sendRequest(t, test.method, base+test.path, test.body, test.header)
			detail, ok := refusal.Decode([]byte(got))
			qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%s", got))
			qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			qt.Check(t, detail.Code, qt.Equals, test.code)
			qt.Check(t, detail.Verdict, qt.Equals, verdict.NotRun)
			qt.Check(t, resp.Header.Get(entry.HeaderVerdict), qt.Equals, string(verdict.NotRun))
		})
	}
}

// Guards against requests that reach the dispatcher with another kind, adapter
// version, path, deadline or body than the caller sent.
func TestRequestKeepsWhatTheCallerSent(t *testing.T) {
	var got *request.Request
	base := startServer(t, &entry.Server{Dispatcher: dispatcherFunc(func(_ context.Context, r *request.Request, _ dispatch.Sink) (request.Response, error) {
		got = r
		return request.Response{Status: 409, ContentType: "text/plain", Body: []byte("taken"), Replayed: true}, nil
	})})
	id := uuid.Must(uuid.NewV7()).String()
	header := map[string]string{
		entry.HeaderKind: "enrolment", entry.HeaderCaller: "student-7", entry.HeaderTimeoutMs: "1500",
		entry.HeaderRequestID: strings.ToUpper(id), "Content-Type": "text/csv",
	}
	t.Run("booking at a plain service", func(t *testing.T) {
		c := qt.New(t)
		resp, text := sendRequest(t, "PUT", base+"/services/belegung/seats/a%2Fb?term=2", "x,y", header)
		c.Check(resp.StatusCode, qt.Equals, 409)
		c.Check(text, qt.Equals, "taken")
		c.Check(resp.Header.Get(entry.HeaderVerdict), qt.Equals, "ran")
		c.Check(resp.Header.Get(entry.HeaderReplayed), qt.Equals, "true")
		c.Check(resp.Header.Get(entry.HeaderRequestID), qt.Equals, id)
		c.Check(got.Deadline.Sub(got.Arrived), qt.Equals, 1500*time.Millisecond)
		c.Check(got.Repeatable(), qt.IsFalse)
		got.Arrived, got.Deadline = time.Time{}, time.Time{}
		c.Check(got, qt.DeepEquals, &request.Request{
			ID:     fleet.RequestID(id),
			RunID:  booking.Key{Application: "chat", Caller: "student-7", Request: fleet.RequestID(id)}.RunID(),
			Caller: "student-7", Application: "chat",
			Kind: testConfiguration().Kinds["enrolment"], Service: "belegung", Method: "PUT",
			Path: "/seats/a%2Fb?term=2", ContentType: "text/csv", Body: []byte("x,y"),
		})
	})
	t.Run("chat with defaults", func(t *testing.T) {
		c := qt.New(t)
		current := strings.Replace(completionRequest, "@2", "", 1)
		resp, _ := sendRequest(t, "POST", base+"/v1/chat/completions", current, nil)
		c.Check(got.Adapter, qt.Equals, fleet.AdapterReference{Name: "latin", Version: 2})
		c.Check(string(got.Body), qt.Equals, current)
		c.Check(got.Caller, qt.Equals, "chat")
		c.Check(got.Deadline.Sub(got.Arrived), qt.Equals, 20*time.Second)
		made, err := uuid.Parse(resp.Header.Get(entry.HeaderRequestID))
		c.Assert(err, qt.IsNil)
		c.Check(made.Version(), qt.Equals, uuid.Version(7))
	})
}

// Guards against an entry host that accepts requests or reports itself ready before
// it has a configuration.
func TestHostWithoutConfigurationRefuses(t *testing.T) {
	base := startServer(t, &entry.Server{Configuration: configurationSource{}})
	resp, got := sendRequest(t, "POST", base+"/v1/chat/completions", completionRequest, nil)
	qt.Assert(t, resp.StatusCode, qt.Equals, 503)
	qt.Assert(t, strings.Contains(got, `"code":"no-configuration","verdict":"not-run"`), qt.IsTrue)
	resp, _ = sendRequest(t, "GET", base+"/readyz", "", nil)
	qt.Assert(t, resp.StatusCode, qt.Equals, 503)
}

// Guards against data races and against responses that reach another concurrent
// caller than the one that sent the request.
func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	base := startServer(t, &entry.Server{Dispatcher: dispatcherFunc(func(_ context.Context, r *request.Request, _ dispatch.Sink) (request.Response, error) {
		return request.Response{Body: []byte(r.Caller + " " + string(r.ID))}, nil
	})})
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() {
			for range 50 {
				caller, id := fmt.Sprintf("c%d", i), uuid.Must(uuid.NewV7()).String()
				resp, got := sendRequest(t, "POST", base+"/v1/chat/completions", completionRequest, map[string]string{entry.HeaderCaller: caller, entry.HeaderRequestID: id})
				qt.Check(t, got, qt.Equals, caller+" "+id)
				qt.Check(t, resp.Header.Get(entry.HeaderRequestID), qt.Equals, id)
			}
		})
	}
	callers.Wait()
}

// BenchmarkCompletion measures the time and allocations of one chat completion on
// one connection, those of the client included.
func BenchmarkCompletion(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(b, err, qt.IsNil)
	server := &entry.Server{
		Listener: listener, Configuration: configurationSource{testConfiguration()},
		Dispatcher: dispatcherFunc(func(context.Context, *request.Request, dispatch.Sink) (request.Response, error) {
			return request.Response{Body: []byte(completionResponse)}, nil
		}),
	}
	go func() { _ = server.Run(context.Background()) }()
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(b, err, qt.IsNil)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	sent := []byte(rawPost(completionRequest))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(sent); err != nil {
			b.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
	}
}
