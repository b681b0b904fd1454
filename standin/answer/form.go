// Package answer writes the answers of sound and of faulty servers of the users' platform, and draws
// them at random, so that tests and stand-ins meet what a page names together with what it does not.
package answer

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// An ID says which attempts an answer names.
type ID string

// The attempts that an answer names.
const (
	OwnID         ID = "own"
	NoID          ID = "none"
	EmptyID       ID = "empty"
	OtherID       ID = "other"
	OwnAndOtherID ID = "own+other"
	OtherAndOwnID ID = "other+own"
	OwnAndEmptyID ID = "own+empty"
)

// A Statement is what an answer has in X-Not-Executed.
type Statement string

// The statements.
const (
	Stated          Statement = "1"
	StatedInWords   Statement = "full"
	NotStated       Statement = "none"
	EmptyStatement  Statement = "empty"
	Denied          Statement = "0"
	StatedAndDenied Statement = "1+0"
)

// A Receipt says where an answer has the signature of a run.
type Receipt string

// The receipts.
const (
	NoReceipt      Receipt = "none"
	Signed         Receipt = "signed"
	EmptySignature Receipt = "empty"
	TrailerReceipt Receipt = "trailer"
)

// A Server says which server an answer names.
type Server string

// The servers that an answer names.
const (
	NoServer            Server = "none"
	ExpectedServer      Server = "expected"
	OtherServer         Server = "other"
	ExpectedAndOtherOne Server = "expected+other"
)

// A Framing says how the body of an answer ends.
type Framing string

// The framings. The last four are those of a body that does not end properly.
const (
	Length    Framing = "length"
	Chunks    Framing = "chunks"
	UntilEnd  Framing = "until-end"
	CutLength Framing = "cut-length"
	CutChunks Framing = "cut-chunks"
	ResetBody Framing = "reset"
	Stalled   Framing = "stalled"
)

// A Sequel is what follows an answer on its connection.
type Sequel string

// The sequels. Late ones come while the connection is not in use, or in use for another request.
const (
	NoSequel     Sequel = "none"
	Garbage      Sequel = "garbage"
	Copy         Sequel = "copy"
	Success      Sequel = "success"
	LateCopy     Sequel = "late-copy"
	LateSuccess  Sequel = "late-success"
	EndOfChannel Sequel = "end"
)

// lateDelay is the time after which a late sequel follows.
const lateDelay = 5 * time.Millisecond

// A Form is one way in which a server answers a request.
type Form struct {
	Status    int
	ID        ID
	Statement Statement
	Receipt   Receipt
	Server    Server
	// ContentType and Encoding are those of the body; empty for none.
	ContentType string
	Encoding    string
	Body        string
	Framing     Framing
	Sequel      Sequel
}

// String returns the form for messages of tests.
func (f Form) String() string {
	return fmt.Sprintf("%d id=%s stated=%s receipt=%s server=%s type=%q encoding=%q body=%d framing=%s sequel=%s",
		f.Status, f.ID, f.Statement, f.Receipt, f.Server, f.ContentType, f.Encoding, len(f.Body), f.Framing, f.Sequel)
}

// The values that Draw chooses from, beside those of sound refusals.
var (
	statuses     = []int{200, 201, 204, 302, 400, 404, 408, 409, 421, 425, 429, 500, 502, 503, 504}
	ids          = []ID{OwnID, NoID, EmptyID, OtherID, OwnAndOtherID, OtherAndOwnID, OwnAndEmptyID}
	statements   = []Statement{Stated, StatedInWords, NotStated, EmptyStatement, Denied, StatedAndDenied}
	receipts     = []Receipt{NoReceipt, Signed, EmptySignature, TrailerReceipt}
	servers      = []Server{NoServer, ExpectedServer, OtherServer, ExpectedAndOtherOne}
	contentTypes = []string{"", "text/plain", "application/json", "text/event-stream"}
	encodings    = []string{"", "gzip"}
	bodies       = []string{"", "busy", "id: 1\ndata: piece 1\n\n"}
	framings     = []Framing{Length, Chunks, UntilEnd, CutLength, CutChunks, ResetBody, Stalled}
	sequels      = []Sequel{NoSequel, Garbage, Copy, Success, LateCopy, LateSuccess, EndOfChannel}
)

// faultShare is the share of the values of a drawn form that are not those of a sound refusal.
const faultShare = 0.15

// Draw returns a random form, which is a sound refusal or differs from one in a few respects.
func Draw(random *rand.Rand) Form {
	f := Form{
		Status: choose(random, []int{503, 503, 429, 421}), ID: OwnID, Statement: Stated, Receipt: NoReceipt, Server: NoServer,
		Body: choose(random, []string{"", "busy"}), Framing: choose(random, []Framing{Length, Chunks, UntilEnd}), Sequel: NoSequel,
	}
	if f.Status == http.StatusMisdirectedRequest {
		f.Statement, f.Server = choose(random, []Statement{NotStated, Stated}), OtherServer
	}
	mutate(random, &f.Status, statuses)
	mutate(random, &f.ID, ids)
	mutate(random, &f.Statement, statements)
	mutate(random, &f.Receipt, receipts)
	mutate(random, &f.Server, servers)
	mutate(random, &f.ContentType, contentTypes)
	mutate(random, &f.Encoding, encodings)
	mutate(random, &f.Body, bodies)
	mutate(random, &f.Framing, framings)
	mutate(random, &f.Sequel, sequels)
	if f.Receipt == TrailerReceipt {
		f.Framing = Chunks
	}
	return f
}

// choose returns a random one of the values.
func choose[T any](random *rand.Rand, values []T) T { return values[random.IntN(len(values))] }

// mutate replaces a value, with probability faultShare, by a random one.
func mutate[T any](random *rand.Rand, value *T, values []T) {
	if random.Float64() < faultShare {
		*value = choose(random, values)
	}
}

// A Request is what a form depends on of the request that it answers.
type Request struct {
	ID string
	// ExpectedServer is the server that the request is for.
	ExpectedServer string
	// HasModel says that the request is for a model.
	HasModel bool
	// OnReusedConnection says that its connection has carried an earlier request.
	OnReusedConnection bool
}

// NewRequest returns the Request of a message.
func NewRequest(r *http.Request, onReusedConnection bool) Request {
	return Request{
		ID: r.Header.Get("X-Attempt-Id"), ExpectedServer: r.Header.Get("X-Expect-Instance"),
		HasModel: r.Header.Get("X-Model") != "", OnReusedConnection: onReusedConnection,
	}
}

// IsRefusal reports whether the form is that of a sound server that has not run the request. The
// users' pages say how such a server answers; with any other form the request may have run.
func (f Form) IsRefusal(r Request) bool {
	return f.hasRefusalStatus(r) && f.namesRequest(r) && f.namesServer(r) && f.hasRefusalBody() && f.isAlone()
}

// hasRefusalStatus reports whether the status is one of refusals and the answer states that the
// request did not run. Status 421 does so by itself.
func (f Form) hasRefusalStatus(r Request) bool {
	isStated := f.Statement == Stated || f.Statement == StatedInWords
	switch f.Status {
	case http.StatusMisdirectedRequest:
		return isStated || f.Statement == NotStated
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return isStated
	case http.StatusBadRequest:
		return isStated && r.ID == ""
	}
	return false
}

// namesRequest reports whether the answer belongs to the request. On a connection that has carried
// another one, only the id tells.
func (f Form) namesRequest(r Request) bool {
	return f.ID == OwnID || f.ID == NoID && !r.OnReusedConnection
}

// namesServer reports whether the server that the answer names would refuse the request.
func (f Form) namesServer(r Request) bool {
	switch f.Server {
	case ExpectedServer:
		return f.Status != http.StatusMisdirectedRequest || r.HasModel
	case OtherServer:
		return f.Status == http.StatusMisdirectedRequest
	case NoServer:
		return true
	}
	return false
}

// hasRefusalBody reports whether the answer has neither a receipt nor a result, and is whole.
func (f Form) hasRefusalBody() bool {
	return f.Receipt == NoReceipt && f.ContentType != "text/event-stream" && f.Encoding == "" &&
		slices.Contains([]Framing{Length, Chunks, UntilEnd}, f.Framing)
}

// isAlone reports whether nothing follows the answer as long as its caller can tell. Nothing can
// follow one that ends with its connection.
func (f Form) isAlone() bool {
	return f.Framing == UntilEnd || !slices.Contains([]Sequel{Garbage, Copy, Success}, f.Sequel)
}

// head returns the status line and the fields of the form.
func (f Form) head(r Request) string {
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d Status\r\n", f.Status)
	add := func(name string, values map[string][]string, key string) {
		for _, value := range values[key] {
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	add("X-Attempt-Id", map[string][]string{
		string(OwnID): {r.ID}, string(EmptyID): {""}, string(OtherID): {"other"}, string(OwnAndOtherID): {r.ID, "other"},
		string(OtherAndOwnID): {"other", r.ID}, string(OwnAndEmptyID): {r.ID, ""},
	}, string(f.ID))
	add("X-Not-Executed", map[string][]string{
		string(Stated): {"1"}, string(StatedInWords): {"full"}, string(EmptyStatement): {""}, string(Denied): {"0"}, string(StatedAndDenied): {"1", "0"},
	}, string(f.Statement))
	add("X-Response-Signature", map[string][]string{string(Signed): {"s"}, string(EmptySignature): {""}}, string(f.Receipt))
	add("X-Instance-Id", map[string][]string{
		string(ExpectedServer): {r.ExpectedServer}, string(OtherServer): {"i-other"}, string(ExpectedAndOtherOne): {r.ExpectedServer, "i-other"},
	}, string(f.Server))
	if f.ContentType != "" {
		head.WriteString("Content-Type: " + f.ContentType + "\r\n")
	}
	if f.Encoding != "" {
		head.WriteString("Content-Encoding: " + f.Encoding + "\r\n")
	}
	return head.String()
}

// hasBody reports whether an answer with the status has a body.
func (f Form) hasBody() bool { return f.Status != http.StatusNoContent }

// framed returns the fields that frame the body, the body, and whether the connection stays open.
func (f Form) framed() (text string, keep bool) {
	if !f.hasBody() {
		return "\r\n", true
	}
	chunks := ""
	if f.Body != "" {
		chunks = fmt.Sprintf("%x\r\n%s\r\n", len(f.Body), f.Body)
	}
	switch f.Framing {
	case Length:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(f.Body), f.Body), true
	case Chunks:
		trailer := ""
		if f.Receipt == TrailerReceipt {
			trailer = "X-Response-Signature: s\r\n"
		}
		return "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n" + trailer + "\r\n", true
	case CutLength, Stalled:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(f.Body)+10, f.Body), f.Framing == Stalled
	case CutChunks:
		return "Transfer-Encoding: chunked\r\n\r\n" + chunks, false
	}
	return "\r\n" + f.Body, false
}

// success returns the answer of a sound plain service to the request.
func success(r Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 6\r\n\r\nanswer", r.ID)
}

// Write writes the answer to a connection and reports whether the connection stays open. An error
// of the connection ends the answer.
func (f Form) Write(conn net.Conn, r Request) (keep bool) {
	text, keep := f.framed()
	text = f.head(r) + text
	switch f.Sequel {
	case Garbage:
		text += "garbage"
	case Copy:
		text += text
	case Success:
		text += success(r)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return false
	}
	if tcp, ok := conn.(*net.TCPConn); ok && f.Framing == ResetBody && f.hasBody() {
		// Closing then resets the connection.
		_ = tcp.SetLinger(0)
	}
	if !keep || f.Sequel == EndOfChannel {
		return false
	}
	if f.Sequel != LateCopy && f.Sequel != LateSuccess {
		return true
	}
	time.Sleep(lateDelay)
	if f.Sequel == LateSuccess {
		text = success(r)
	}
	_, err := conn.Write([]byte(text))
	return err == nil
}
