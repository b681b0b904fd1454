package answer

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// lateDelay is the time after which a late sequel follows.
const lateDelay = 5 * time.Millisecond

// The values of the fields whose form does not depend on the request.
var (
	statementValues = map[Statement][]string{
		Stated: {"1"}, StatedInWords: {"full"}, EmptyStatement: {""}, Denied: {"0"}, StatedAndDenied: {"1", "0"},
	}
	receiptValues = map[Receipt][]string{Signed: {"s"}, EmptySignature: {""}}
	// faultyFields are lines with unsound names. Each would give the body another length, if it were
	// read as the field that it resembles.
	faultyFields = map[HeadFault]string{
		SpaceInName: "Content Length: 1\r\n", SpaceBeforeColon: "Content-Length : 1\r\n", TabInName: "Content-Length\t: 1\r\n",
		NULInName: "Content-Length\x00: 1\r\n", ControlInName: "Content-Length\x7f: 1\r\n",
	}
)

// endPause is the time between the end of an early answer and the reset of its connection.
const endPause = 5 * time.Millisecond

// idValues returns the values of the field that names the request.
func (f Form) idValues(r Request) []string {
	return map[ID][]string{
		OwnID: {r.ID}, EmptyID: {""}, OtherID: {"other"}, OwnAndOtherID: {r.ID, "other"}, OtherAndOwnID: {"other", r.ID}, OwnAndEmptyID: {r.ID, ""},
	}[f.ID]
}

// serverValues returns the values of the field that names the server.
func (f Form) serverValues(r Request) []string {
	return map[Server][]string{
		ExpectedServer: {r.ExpectedServer}, OtherServer: {"i-other"}, ExpectedAndOtherOne: {r.ExpectedServer, "i-other"},
	}[f.Server]
}

// writeFields writes a line of the head for each value, unless the protocol has no such field.
func writeFields(head *strings.Builder, name string, values []string) {
	if name == "" {
		return
	}
	for _, value := range values {
		fmt.Fprintf(head, "%s: %s\r\n", name, value)
	}
}

// head returns the status line and the fields of the form.
func (f Form) head(r Request) string {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s Status\r\n%s", cmp.Or(f.Version, "HTTP/1.1"), f.StatusText(), faultyFields[f.Head])
	writeFields(&head, r.Names.ID, f.idValues(r))
	writeFields(&head, r.Names.Statement, statementValues[f.Statement])
	writeFields(&head, r.Names.Receipt, receiptValues[f.Receipt])
	writeFields(&head, r.Names.Server, f.serverValues(r))
	if f.ContentType != "" {
		writeFields(&head, "Content-Type", []string{f.ContentType})
	}
	if f.Encoding != "" {
		writeFields(&head, "Content-Encoding", []string{f.Encoding})
	}
	return head.String()
}

// hasBody reports whether an answer with the status has a body.
func (f Form) hasBody() bool { return f.Status != http.StatusNoContent }

// framed returns the fields that frame the body, the body, and whether the connection stays open.
func (f Form) framed(r Request) (text string, keep bool) {
	if !f.hasBody() {
		return "\r\n", true
	}
	if f.IsEarly() {
		return "\r\n" + f.Body, false
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
		if f.Receipt == TrailerReceipt && r.Names.Receipt != "" {
			trailer = r.Names.Receipt + ": s\r\n"
		}
		return "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n" + trailer + "\r\n", true
	case CutLength, Stalled:
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(f.Body)+10, f.Body), f.Framing == Stalled
	case CutChunks:
		return "Transfer-Encoding: chunked\r\n\r\n" + chunks, false
	}
	return "\r\n" + f.Body, false
}

// Text returns the answer to the request, without what follows it on its connection.
func (f Form) Text(r Request) string {
	framed, _ := f.framed(r)
	return f.head(r) + framed
}

// success returns the answer of a sound plain service to the request.
func success(r Request) string {
	receipt := ""
	if r.Names.Receipt != "" {
		receipt = r.Names.Receipt + ": s\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 6\r\n\r\nanswer", r.Names.ID, r.ID, receipt)
}

// Write writes the answer to a connection and reports whether the connection stays open. An error
// of the connection ends the answer.
func (f Form) Write(conn net.Conn, r Request) (keep bool) {
	text, keep := f.framed(r)
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
	if tcp, ok := conn.(*net.TCPConn); ok && (f.IsEarly() || f.Framing == ResetBody && f.hasBody()) {
		f.prepareReset(tcp)
	}
	if !keep || f.IsEarly() || f.Sequel == EndOfChannel {
		return false
	}
	if f.Sequel != LateCopy && f.Sequel != LateSuccess {
		return true
	}
	if r.Decided != nil {
		<-r.Decided
	} else {
		time.Sleep(lateDelay)
	}
	if f.Sequel == LateSuccess {
		text = success(r)
	}
	_, err := conn.Write([]byte(text))
	return err == nil
}

// prepareReset lets the close of the connection reset it.
func (f Form) prepareReset(conn *net.TCPConn) {
	if f.Upload == EndAndResetUpload {
		_ = conn.CloseWrite()
		time.Sleep(endPause)
	}
	_ = conn.SetLinger(0)
}
