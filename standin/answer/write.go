package answer

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// lateDelay is the time after which a late sequel follows.
const lateDelay = 5 * time.Millisecond

// head returns the status line and the fields of the form.
func (f Form) head(r Request) string {
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 %d Status\r\n", f.Status)
	add := func(name string, values map[string][]string, key string) {
		for _, value := range values[key] {
			if name == "" {
				continue
			}
			fmt.Fprintf(&head, "%s: %s\r\n", name, value)
		}
	}
	add(r.Names.ID, map[string][]string{
		string(OwnID): {r.ID}, string(EmptyID): {""}, string(OtherID): {"other"}, string(OwnAndOtherID): {r.ID, "other"},
		string(OtherAndOwnID): {"other", r.ID}, string(OwnAndEmptyID): {r.ID, ""},
	}, string(f.ID))
	add(r.Names.Statement, map[string][]string{
		string(Stated): {"1"}, string(StatedInWords): {"full"}, string(EmptyStatement): {""}, string(Denied): {"0"}, string(StatedAndDenied): {"1", "0"},
	}, string(f.Statement))
	add(r.Names.Receipt, map[string][]string{string(Signed): {"s"}, string(EmptySignature): {""}}, string(f.Receipt))
	add(r.Names.Server, map[string][]string{
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
func (f Form) framed(r Request) (text string, keep bool) {
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
