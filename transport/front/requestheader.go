package front

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"github.com/persimmonmux/persimmonmux/coordination/forward"
	"github.com/persimmonmux/persimmonmux/platform"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// requestHeader returns the headers of the request for a server: those of the
// caller without hop-by-hop and reserved headers, and those from the options.
func (e *exchange) requestHeader(server *site.Server, options forward.SendOptions) http.Header {
	header := make(http.Header, len(e.request.Header)+4)
	drop := headersToDrop(e.request.Header)
	for name, values := range e.request.Header {
		if !slices.Contains(drop, name) && !isReserved(name) {
			header[name] = values
		}
	}
	if e.mayHaveKey() {
		header.Del(platform.HeaderAuthorization)
	}
	if options.Organisation != "" {
		header.Set(platform.HeaderTenant, string(options.Organisation))
	}
	header.Set(platform.HeaderRemainingTime, strconv.FormatInt(max(options.Timeout.Milliseconds(), 1), 10))
	header.Set(platform.HeaderExpectInstance, string(server.ID))
	if options.Version > 0 {
		header.Set(platform.HeaderExpectVersion, strconv.Itoa(options.Version))
	}
	if options.Priority >= 0 {
		header.Set(platform.HeaderRequestPriority, strconv.Itoa(options.Priority))
	}
	if e.lastEventID != "" {
		header.Set(platform.HeaderLastEventID, e.lastEventID)
	}
	return header
}

// mayHaveKey reports whether the authorization of the request may be a key, which servers
// must not get. While keys are required, no scheme shows that it is none. Once they are no
// longer required, callers still send theirs.
func (e *exchange) mayHaveKey() bool {
	view := e.server.Views.View()
	if view.Desired != nil && view.Desired.RequiresKeys {
		return true
	}
	return view.KeysWereRequired && platform.MayCarryKey(e.request.Header)
}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	"Proxy-Authenticate", "Proxy-Authorization",
}

// headersToDrop returns hopByHopHeaders and the headers that the Connection header
// names, except those that must be forwarded.
func headersToDrop(header http.Header) []string {
	list := hopByHopHeaders
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)); name != "" && !mustForward(name) {
				list = append(list[:len(list):len(list)], name)
			}
		}
	}
	return list
}

// mustForward reports whether a header is forwarded even if the Connection header
// names it.
func mustForward(name string) bool {
	switch name {
	case textproto.CanonicalMIMEHeaderKey(platform.HeaderAttemptID), textproto.CanonicalMIMEHeaderKey(platform.HeaderModel),
		textproto.CanonicalMIMEHeaderKey(platform.HeaderTokenCounts), textproto.CanonicalMIMEHeaderKey(platform.HeaderPromptPrefix),
		textproto.CanonicalMIMEHeaderKey(platform.HeaderResponseSignature), "Content-Type":
		return true
	}
	return false
}

// isReserved reports whether only the system may set a header on a request.
func isReserved(name string) bool {
	for _, own := range platform.ReservedHeaders {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}
