package front

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/internal/coordination/quarantine"
	"github.com/persimmonmux/persimmonmux/state/site"
	"github.com/persimmonmux/persimmonmux/state/verdict"
	"github.com/persimmonmux/persimmonmux/transport/backend"
)

// The keys of the tests. Each begins with secretPrefix, which no server may get.
const (
	secretPrefix = "secret-"
	goodKey      = secretPrefix + "good"
	undecidedKey = secretPrefix + "undecided"
)

// keyIdentifier refuses all keys, and does not decide on undecidedKey.
type keyIdentifier struct{}

func (keyIdentifier) Identify(_ context.Context, key site.KeyDigest) (*site.Organisation, error) {
	if key == site.NewKeyDigest(undecidedKey) {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeTableUnavailable, RetryAfter: time.Second}
	}
	return nil, verdict.NewNotRun(verdict.CodeUnauthorized, "unknown")
}

func (keyIdentifier) RefuseMissing() *verdict.Error {
	return verdict.NewNotRun(verdict.CodeUnauthorized, "missing")
}

// usedUpQuota refuses all requests.
type usedUpQuota struct{}

func (usedUpQuota) Take(context.Context, *site.Organisation, float64) (site.QuotaCharge, error) {
	return site.QuotaCharge{}, &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeQuotaExceeded, RetryAfter: 1500 * time.Millisecond}
}

func (usedUpQuota) Renew(_ context.Context, _ *site.Organisation, charge site.QuotaCharge) (site.QuotaCharge, error) {
	return charge, nil
}

func (usedUpQuota) TakeRepeat(*site.Organisation, float64) {}

func (usedUpQuota) Return(site.QuotaCharge) {}

// startKeyedFront starts a Server in front of b whose desired state has the organisation
// "buyer" with goodKey. prepare may change the view.
func startKeyedFront(c *quicktest.C, b *backendServer, prepare func(view *site.View)) string {
	views := syncedViews()
	views.view = testView(b)
	views.view.KeysWereRequired, views.view.Desired.RequiresKeys = true, true
	views.view.Desired.Organisations = []site.Organisation{{Name: "buyer", Keys: []site.KeyDigest{site.NewKeyDigest(goodKey)}}}
	public := views.view.Desired.Routes[0]
	public.Name, public.Prefix, public.Public = "p", "/public/", true
	views.view.Desired.Routes = append(views.view.Desired.Routes, public)
	if prepare != nil {
		prepare(views.view)
	}
	views.view.BuildIndex()
	blocked := &quarantine.Quarantine{Views: views, Prober: backend.Prober{}, Log: zerolog.Nop()}
	go blocked.Run(context.Background())
	s := newServer(c, views, blocked)
	forwarder := s.Forwarder.(*forward.Forwarder)
	forwarder.Identifier, forwarder.Quotas = keyIdentifier{}, usedUpQuota{}
	go s.Run(context.Background())
	return s.Listener.Addr().String()
}

// startEchoBackend starts a server that answers every request.
func startEchoBackend(c *quicktest.C) *backendServer {
	return startBackend(c, func(_ int, conn net.Conn, r *http.Request) bool { return success(conn, r, "ok") })
}

// lastRequest returns the last request that the server got.
func (b *backendServer) lastRequest() *http.Request {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.requests[len(b.requests)-1]
}

// checkHidesKeys checks that a request holds no key, and that X-Tenant has the value, or is
// absent if that is empty.
func checkHidesKeys(c *quicktest.C, r *http.Request, tenant string) {
	var want []string
	if tenant != "" {
		want = []string{tenant}
	}
	c.Check(r.Header["X-Tenant"], quicktest.DeepEquals, want)
	for _, fields := range []http.Header{r.Header, r.Trailer} {
		for name, values := range fields {
			c.Check(strings.Contains(fmt.Sprint(name, values), secretPrefix), quicktest.IsFalse, quicktest.Commentf("%s: %q", name, values))
			isOther := strings.EqualFold(name, "X-Tenant") && name != "X-Tenant"
			c.Check(isOther, quicktest.IsFalse)
		}
	}
	c.Check(r.Trailer, quicktest.HasLen, 0)
}

// TestServerGetsOrganisationAndNoKey guards against a server that gets a caller's key, or
// another organisation than the one that holds it, in whatever form the caller sends them.
func TestServerGetsOrganisationAndNoKey(t *testing.T) {
	for _, test := range []struct {
		name, path string
		header     []string
		tenant     string
	}{
		{"key", "/safe/x", []string{"Authorization: Token " + goodKey}, "buyer"},
		{"other case", "/safe/x", []string{"aUTHORIZATION: tOKEN " + goodKey}, "buyer"},
		{"stated organisation", "/safe/x", []string{"Authorization: Token " + goodKey, "X-Tenant: other"}, "buyer"},
		{"organisation in other case", "/safe/x", []string{"x-tEnAnT: other", "X-TENANT: other", "Authorization: Token " + goodKey, "X-Tenant: third"}, "buyer"},
		{"fields of the connection", "/safe/x", []string{"Connection: X-Tenant, Authorization", "Authorization: Token " + goodKey, "X-Tenant: other"}, "buyer"},
		{"fields of the connection in other case", "/safe/x", []string{"connection: x-tenant", "CONNECTION: authorization", "Authorization: Token " + goodKey}, "buyer"},
		{"key for proxies", "/safe/x", []string{"Authorization: Token " + goodKey, "Proxy-Authorization: Token " + goodKey}, "buyer"},
		{"unsafe", "/unsafe/x", []string{"Authorization: Token " + goodKey}, "buyer"},
		{"public without key", "/public/x", []string{"X-Tenant: other"}, ""},
		{"public with key", "/public/x", []string{"Authorization: Token " + goodKey, "X-Tenant: buyer"}, ""},
		{"public with another scheme", "/public/x", []string{"Authorization: Bearer " + goodKey}, ""},
		{"public with two", "/public/x", []string{"Authorization: Basic a", "Authorization: Token " + goodKey}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := startEchoBackend(c)
			answer, body, err := sendRequest(startKeyedFront(c, b, nil), "POST", test.path, "prompt", test.header...)
			c.Assert(err, quicktest.IsNil)
			c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
			c.Check(body, quicktest.Equals, "ok")
			checkHidesKeys(c, b.lastRequest(), test.tenant)
			c.Check(b.lastRequest().Header.Get("Authorization"), quicktest.Equals, "")
		})
	}
}

// TestTrailersReachNoServer guards against a key or an organisation in the trailers of a
// chunked request.
func TestTrailersReachNoServer(t *testing.T) {
	c := quicktest.New(t)
	b := startEchoBackend(c)
	conn, err := net.Dial("tcp", startKeyedFront(c, b, nil))
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\nAuthorization: Token %s\r\n"+
		"Trailer: X-Tenant, Authorization\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Tenant: other\r\nAuthorization: Token %[1]s\r\n\r\n", goodKey)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, quicktest.IsNil)
	c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
	checkHidesKeys(c, b.lastRequest(), "buyer")
}

// TestRefusedKeyStatus guards against a request that reaches a server although its key does
// not allow that, and against a refusal that callers take for another one.
func TestRefusedKeyStatus(t *testing.T) {
	for _, test := range []struct {
		name       string
		header     []string
		status     int
		retryAfter string
	}{
		{"no key", nil, http.StatusUnauthorized, ""},
		{"stated organisation", []string{"X-Tenant: buyer"}, http.StatusUnauthorized, ""},
		{"unknown key", []string{"Authorization: Token " + secretPrefix + "bad"}, http.StatusUnauthorized, ""},
		{"other scheme", []string{"Authorization: Bearer " + goodKey}, http.StatusUnauthorized, ""},
		{"two keys", []string{"Authorization: Token " + goodKey, "Authorization: Token " + secretPrefix + "bad"}, http.StatusUnauthorized, ""},
		{"undecided", []string{"Authorization: Token " + undecidedKey}, http.StatusServiceUnavailable, "1.00"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := startEchoBackend(c)
			for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
				answer, _, err := sendRequest(startKeyedFront(c, b, nil), "POST", path, "prompt", test.header...)
				c.Assert(err, quicktest.IsNil)
				c.Check(answer.StatusCode, quicktest.Equals, test.status)
				c.Check(answer.Header.Get("Retry-After"), quicktest.Equals, test.retryAfter)
				c.Check(answer.Header.Get("WWW-Authenticate") == "Token", quicktest.Equals, test.status == http.StatusUnauthorized)
			}
			c.Check(b.count(), quicktest.Equals, 0)
		})
	}
}

// TestUsedUpQuotaStatus guards against a request beyond the quota that reaches a server, or
// whose refusal does not tell when to come back.
func TestUsedUpQuotaStatus(t *testing.T) {
	c := quicktest.New(t)
	b := startEchoBackend(c)
	address := startKeyedFront(c, b, func(view *site.View) {
		view.Desired.Organisations[0].Quota = site.Quota{Unit: site.QuotaRequests, PerSecond: 1}
	})
	answer, _, err := sendRequest(address, "POST", "/safe/x", "prompt", "Authorization: Token "+goodKey)
	c.Assert(err, quicktest.IsNil)
	c.Check(answer.StatusCode, quicktest.Equals, http.StatusTooManyRequests)
	c.Check(answer.Header.Get("Retry-After"), quicktest.Equals, "1.50")
	c.Check(b.count(), quicktest.Equals, 0)
}

// TestKeyIsCheckedBeforeTheBody guards against callers without a key that have the host wait
// for their bodies and hold them.
func TestKeyIsCheckedBeforeTheBody(t *testing.T) {
	for _, framing := range []string{"Content-Length: 10", "Content-Length: 4000000", "Transfer-Encoding: chunked", "Expect: 100-continue\r\nContent-Length: 10"} {
		t.Run(framing, func(t *testing.T) {
			c := quicktest.New(t)
			conn, err := net.Dial("tcp", startKeyedFront(c, startEchoBackend(c), nil))
			c.Assert(err, quicktest.IsNil)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\n%s\r\n\r\n", framing)
			answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, quicktest.IsNil)
			c.Check(answer.StatusCode, quicktest.Equals, http.StatusUnauthorized)
		})
	}
}

// TestBodyOfRefusedRequestIsNoRequest guards against the body of a refused request that is
// taken for the next request on its connection, and against requests without a body that cost
// a new connection for each refusal.
func TestBodyOfRefusedRequestIsNoRequest(t *testing.T) {
	c := quicktest.New(t)
	b := startEchoBackend(c)
	conn, err := net.Dial("tcp", startKeyedFront(c, b, nil))
	c.Assert(err, quicktest.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	reader := bufio.NewReader(conn)
	for range 2 {
		fmt.Fprint(conn, "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token bad\r\n\r\n")
		answer, err := http.ReadResponse(reader, nil)
		c.Assert(err, quicktest.IsNil)
		c.Check(answer.StatusCode, quicktest.Equals, http.StatusUnauthorized)
	}
	inner := "POST /public/inner HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"
	fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token bad\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner)
	answer, err := http.ReadResponse(reader, nil)
	c.Assert(err, quicktest.IsNil)
	c.Check(answer.StatusCode, quicktest.Equals, http.StatusUnauthorized)
	_, err = http.ReadResponse(reader, nil)
	c.Check(err, quicktest.IsNotNil)
	c.Check(b.count(), quicktest.Equals, 0, quicktest.Commentf("%s", b.received()))
}

// TestAuthorizationWithoutOrganisations guards against another treatment of requests than
// before where the desired state has no organisations, and against keys that servers get
// after it has none any more.
func TestAuthorizationWithoutOrganisations(t *testing.T) {
	for _, test := range []struct {
		name, value    string
		hadKeys, hides bool
	}{
		{"never had", "Token t", false, false},
		{"never had, other scheme", "Basic b", false, false},
		{"had", "Token t", true, true},
		{"had, other scheme", "Basic b", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			b := startEchoBackend(c)
			address := startKeyedFront(c, b, func(view *site.View) {
				view.KeysWereRequired, view.Desired.RequiresKeys, view.Desired.Organisations = test.hadKeys, false, nil
			})
			answer, _, err := sendRequest(address, "POST", "/safe/x", "prompt", "Authorization: "+test.value, "X-Tenant: other")
			c.Assert(err, quicktest.IsNil)
			c.Check(answer.StatusCode, quicktest.Equals, http.StatusOK)
			c.Check(b.lastRequest().Header.Get("Authorization") == "", quicktest.Equals, test.hides)
			c.Check(b.lastRequest().Header["X-Tenant"], quicktest.HasLen, 0)
		})
	}
}

// waitingIdentifier decides once the context ends, and refuses then.
type waitingIdentifier struct{ keyIdentifier }

func (i waitingIdentifier) Identify(ctx context.Context, key site.KeyDigest) (*site.Organisation, error) {
	<-ctx.Done()
	return i.keyIdentifier.Identify(ctx, key)
}

// TestUnknownKeyIsDecidedBeforeItsCallerLeaves guards against a request with an unknown key
// that waits for a newer desired state beyond the time that its caller waits. A malformed
// time is refused as it is with a known key.
func TestUnknownKeyIsDecidedBeforeItsCallerLeaves(t *testing.T) {
	c := quicktest.New(t)
	b := startEchoBackend(c)
	views := syncedViews()
	views.view = testView(b)
	views.view.Desired.RequiresKeys = true
	views.view.BuildIndex()
	s := newServer(c, views, &quarantine.Quarantine{Views: views, Prober: backend.Prober{}, Log: zerolog.Nop()})
	s.Forwarder.(*forward.Forwarder).Identifier = waitingIdentifier{}
	go s.Run(context.Background())
	for _, milliseconds := range []string{"1", "200"} {
		c.Check(statusWithin(c, s.Listener.Addr().String(), undecidedKey, milliseconds), quicktest.Equals, http.StatusServiceUnavailable)
	}
	address := startKeyedFront(c, b, nil)
	c.Check(statusWithin(c, address, goodKey, "soon"), quicktest.Equals, http.StatusBadRequest)
	c.Check(statusWithin(c, address, "unknown", "soon"), quicktest.Equals, http.StatusUnauthorized)
}

// statusWithin returns the status of a request with the key whose caller says that it waits
// for the given time. It fails if there is none within some seconds.
func statusWithin(c *quicktest.C, address, key, milliseconds string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/safe/x", nil)
	c.Assert(err, quicktest.IsNil)
	r.Host = "h.example"
	r.Header.Set("X-Attempt-Id", "id-1")
	r.Header.Set("X-Deadline-Ms", milliseconds)
	r.Header.Set("Authorization", "Token "+key)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	c.Assert(err, quicktest.IsNil)
	answer.Body.Close()
	return answer.StatusCode
}
