// Package answer writes the answers of sound and of faulty servers of the users' platform, and draws
// them at random, so that tests and stand-ins meet what a page names together with what it does not.
package answer

import "fmt"

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
