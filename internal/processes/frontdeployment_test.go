//go:build processes && linux

package processes_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/platform"
)

const (
	// frontHostname is the name under which callers address the routes of a front host.
	frontHostname = "crowd.example"
	// frontZone is the failure domain of the front host and of its server.
	frontZone = "muc-a"
	// frontService is the plain service that answers ordinary requests.
	frontService = "belegung"
)

// A frontDeployment is one front host with the stand-in platform and one plain server. The limits
// of the process and of the desired state are low, so that a small crowd can reach them.
type frontDeployment struct {
	crowdedHost
	directory       string
	platformAddress string
	readyAddress    string
}

// newFrontDeployment starts a front host and waits until it answers a request.
func newFrontDeployment(t *testing.T, limits crowdLimits) *frontDeployment {
	t.Helper()
	d := &frontDeployment{directory: t.TempDir(), platformAddress: freeAddress(t), readyAddress: freeAddress(t)}
	d.crowdedHost = crowdedHost{t: t, callerAddress: freeAddress(t), limits: limits, ordinaryStatus: d.callerStatus}
	startProgram(t, d.directory, "platform", "standin", "platform", "--listen", d.platformAddress)
	await(t, "the platform has the desired state", func() bool { return d.writeDesiredState(limits) == nil })
	d.startServer()
	d.startHost(limits)
	await(t, "the front host is ready", func() bool { return isReady(d.readyAddress) })
	await(t, "the front host answers", func() bool { return d.callerStatus() == http.StatusOK })
	return d
}

// startServer starts the plain server and writes its row.
func (d *frontDeployment) startServer() {
	d.t.Helper()
	address, born := freeAddress(d.t), time.Now().UnixMilli()
	startProgram(d.t, d.directory, "server", "standin", "site", "--listen", address, "--id", "server", "--service", frontService,
		"--record", filepath.Join(d.directory, "server.jsonl"), "--born", strconv.FormatInt(born, 10))
	row := map[string]any{
		"backend": frontService, "address": address, "zone": frontZone, "slots": 8, "state": "ready", "seq": 1, "born": born, "models": []any{},
	}
	qt.Assert(d.t, d.setRow("servers", "server", row), qt.IsNil)
}

// startHost starts the front host with the descriptor limit of the test.
func (d *frontDeployment) startHost(limits crowdLimits) {
	d.t.Helper()
	content, err := json.Marshal(map[string]any{
		"host-name": "front", "failure-domain": frontZone, "regions": map[string]string{frontZone: "bayern-sued"},
		"caller-address": d.callerAddress, "ready-address": d.readyAddress, "peer-address": freeAddress(d.t), "metrics-address": freeAddress(d.t),
		"platform-address": d.platformAddress, "memory-megabytes": limits.memoryMegabytes,
	})
	qt.Assert(d.t, err, qt.IsNil)
	path := filepath.Join(d.directory, "front.json")
	qt.Assert(d.t, os.WriteFile(path, content, 0o600), qt.IsNil)
	d.host = startWithDescriptors(d.t, d.directory, "front", limits.descriptors, "front", "--settings", path)
}

// writeDesiredState writes a desired state with one route to the plain service.
func (d *frontDeployment) writeDesiredState(limits crowdLimits) error {
	return d.setRow("op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "booking", "hostname": frontHostname, "prefix": "/booking/", "routeType": "unsafe", "backend": frontService,
			"priority": 1, "maxAttempts": 1, "timeoutMs": 6000,
		}},
		"backends": []any{map[string]any{"name": frontService, "healthPath": "/healthz", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": limits.headerBytes, "maxBodyBytes": limits.bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// setRow writes a row of a table of the stand-in platform.
func (d *frontDeployment) setRow(table, key string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	row := map[string]any{"table": table, "key": key, "value": content}
	return callJSON(http.MethodPut, d.platformAddress, platform.PathRows, map[string]any{"setKeys": []any{row}}, nil)
}

// requestHead returns the head of a request of the crowd up to the headers that declare its body.
func requestHead(id string) string {
	return fmt.Sprintf("POST /booking/x?id=%s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 5000\r\n", id, frontHostname, id)
}

// ordinaryRequestTimeout bounds one try of an ordinary request.
const ordinaryRequestTimeout = 8 * time.Second

// callerStatus sends a small ordinary request on a new connection and returns its status, or 0 if
// it got no answer.
func (d *frontDeployment) callerStatus() int {
	return d.statusOf([]byte(`{"crowd":true}`), nil)
}

// statusOf does the same for a request with the body and further headers.
func (d *frontDeployment) statusOf(body []byte, header http.Header) int {
	id := fmt.Sprintf("ordinary-%d", time.Now().UnixNano())
	r, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress+"/booking/x?id="+id, bytes.NewReader(body))
	qt.Assert(d.t, err, qt.IsNil)
	r.Host = frontHostname
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "5000")
	client := &http.Client{Timeout: ordinaryRequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}
