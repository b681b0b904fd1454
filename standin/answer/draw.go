package answer

import (
	"math/rand/v2"
	"net/http"
)

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

// uploads are the values that DrawFaults chooses from beside HeadFaults.
var uploads = []Upload{ResetUpload, EndAndResetUpload}

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

// DrawFaults returns the form, sometimes with an unsound head or an end before the request was read.
// It is apart from Draw, so that the seeds of earlier failures still draw the same forms there.
func DrawFaults(random *rand.Rand, f Form) Form {
	mutate(random, &f.Head, HeadFaults)
	mutate(random, &f.Upload, uploads)
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
