//go:build processes && linux

package processes_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// frontLimits are the limits of the process and of the desired state in the tests of a front host.
var frontLimits = crowdLimits{memoryMegabytes: 96, descriptors: 600, headerBytes: 16 << 10, bodyBytes: 1 << 20}

// TestUnfinishedRequestsDoNotEndTheHost guards against callers outside the limits, or many inside
// them that do not finish their requests, who take the memory or the descriptors of a front host, so
// that the host ends or ordinary callers get no answers.
func TestUnfinishedRequestsDoNotEndTheHost(t *testing.T) {
	for _, test := range crowdsOf(requestHead("crowd"), frontLimits.bodyBytes) {
		t.Run(test.name, func(t *testing.T) {
			d := newFrontDeployment(t, frontLimits)
			d.checkCrowd(test.crowd)
		})
	}
}

// TestCrowdAtReadyPort guards against callers that take the descriptors or the memory of a front host
// at the port of the load balancer's checks, so that the checks or ordinary callers get no answers.
func TestCrowdAtReadyPort(t *testing.T) {
	for _, test := range []namedCrowd{
		{"heads that stop", &crowd{size: headCrowdSize, head: []byte("GET /readyz HTTP/1.1\r\nHost: x\r\n"), rest: shortLines(60 << 10)}},
		{"silent connections", &crowd{size: silentCrowdSize}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newFrontDeployment(t, frontLimits)
			test.crowd.address = d.readyAddress
			d.ordinaryStatus = func() int {
				if !isReady(d.readyAddress) {
					return 0
				}
				return d.callerStatus()
			}
			d.checkCrowd(test.crowd)
		})
	}
}

// TestRequestAtTheLimitsIsServed guards against limits for crowds that refuse a single request which
// is as large as the desired state allows.
func TestRequestAtTheLimitsIsServed(t *testing.T) {
	d := newFrontDeployment(t, frontLimits)
	qt.Check(t, d.statusOf(bytes.Repeat([]byte("a"), frontLimits.bodyBytes), nil), qt.Equals, http.StatusOK)
	// reservedBytes is what the other header lines of the request take at most.
	const reservedBytes = 500
	header := http.Header{"X-Long": {strings.Repeat("a", frontLimits.headerBytes-reservedBytes)}}
	qt.Check(t, d.statusOf(nil, header), qt.Equals, http.StatusOK)
}

// entryLimits are the limits of the process and of the settings in the tests of an entry host.
var entryLimits = crowdLimits{memoryMegabytes: 96, descriptors: 600, headerBytes: 16 << 10, bodyBytes: 1 << 20}

// TestUnfinishedRequestsDoNotEndTheEntryHost guards against the same callers at a host that serves
// the product's own interface.
func TestUnfinishedRequestsDoNotEndTheEntryHost(t *testing.T) {
	for _, test := range crowdsOf(entryRequestHead(), entryLimits.bodyBytes) {
		t.Run(test.name, func(t *testing.T) {
			d := newEntryDeployment(t, entryLimits)
			d.checkCrowd(test.crowd)
		})
	}
}
