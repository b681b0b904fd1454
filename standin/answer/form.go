// Package answer writes the answers of sound and of faulty servers of the users' platform, and draws
// them at random, so that tests and stand-ins meet what a page names together with what it does not.
package answer

import (
	"fmt"
	"strconv"
	"strings"
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

// A HeadFault is what makes the head of an answer unsound.
type HeadFault string

// The faults of a head: statuses that are none, and field names with bytes that names cannot have.
const (
	SoundHead        HeadFault = ""
	StatusZero       HeadFault = "status-000"
	StatusLow        HeadFault = "status-099"
	StatusShort      HeadFault = "status-20"
	StatusLong       HeadFault = "status-2000"
	StatusWithSign   HeadFault = "status-+20"
	SpaceInName      HeadFault = "space-in-name"
	SpaceBeforeColon HeadFault = "space-before-colon"
	TabInName        HeadFault = "tab-in-name"
	NULInName        HeadFault = "nul-in-name"
	ControlInName    HeadFault = "control-in-name"
)

// HeadFaults has all faults of a head.
var HeadFaults = []HeadFault{
	StatusZero, StatusLow, StatusShort, StatusLong, StatusWithSign, SpaceInName, SpaceBeforeColon, TabInName, NULInName, ControlInName,
}

// An Upload says what a server does with the body of the request.
type Upload string

// ReadUpload means that the server reads the body before it answers. With the others it answers at
// once, with a body that ends with the connection, and resets the connection, ResetUpload directly
// and EndAndResetUpload after it has ended its side.
const (
	ReadUpload        Upload = ""
	ResetUpload       Upload = "reset"
	EndAndResetUpload Upload = "end+reset"
)

// A Form is one way in which a server answers a request.
type Form struct {
	// Version is that of the protocol; empty for HTTP/1.1.
	Version   string
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
	// Head and Upload are apart from what Draw chooses; DrawFaults adds them.
	Head   HeadFault
	Upload Upload
}

// IsEarly reports whether a server answers in the form before it has read the body of the request.
func (f Form) IsEarly() bool { return f.Upload != ReadUpload }

// StatusText returns what the status line has as its status.
func (f Form) StatusText() string {
	switch f.Head {
	case StatusZero, StatusLow, StatusShort, StatusLong, StatusWithSign:
		return strings.TrimPrefix(string(f.Head), "status-")
	}
	return strconv.Itoa(f.Status)
}

// String returns the form for messages of tests.
func (f Form) String() string {
	return fmt.Sprintf("%d id=%s stated=%s receipt=%s server=%s type=%q encoding=%q body=%d framing=%s sequel=%s head=%q upload=%q",
		f.Status, f.ID, f.Statement, f.Receipt, f.Server, f.ContentType, f.Encoding, len(f.Body), f.Framing, f.Sequel, f.Head, f.Upload)
}
