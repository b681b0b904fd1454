//go:build processes && linux

package processes_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/persimmonmux/persimmonmux/standin/engine"
	"github.com/persimmonmux/persimmonmux/transport/entry"
)

// An entryDeployment is one entry host with the stand-in platform and one server of a plain service.
type entryDeployment struct {
	crowdedHost
	directory       string
	platformAddress string
	serverAddress   string
}

// newEntryDeployment starts an entry host and waits until it answers a request.
func newEntryDeployment(t *testing.T, limits crowdLimits) *entryDeployment {
	t.Helper()
	d := &entryDeployment{directory: t.TempDir(), platformAddress: freeAddress(t), serverAddress: freeAddress(t)}
	d.crowdedHost = crowdedHost{t: t, callerAddress: freeAddress(t), limits: limits, ordinaryStatus: d.callerStatus}
	startProgram(t, d.directory, "platform", "standin", "platform", "--listen", d.platformAddress)
	startProgram(t, d.directory, "service", "standin", "service", "--listen", d.serverAddress)
	await(t, "the service answers", func() bool { return callJSON(http.MethodGet, d.serverAddress, engine.PathRecord, nil, nil) == nil })
	d.host = startWithDescriptors(t, d.directory, "host", limits.descriptors, "serve",
		"--settings", d.writeJSON("settings.json", d.settings()), "--initial-configuration", d.writeJSON("configuration.json", d.configuration()))
	await(t, "the entry host answers", func() bool { return d.callerStatus() == http.StatusOK })
	return d
}

// settings returns the settings of the entry host.
func (d *entryDeployment) settings() any {
	return map[string]any{
		"host-name": "host", "failure-domain": "east-a", "region": "east",
		"caller-address": d.callerAddress, "peer-address": freeAddress(d.t), "platform-address": d.platformAddress,
		"memory-megabytes": d.limits.memoryMegabytes, "limits": map[string]any{"body-size": d.limits.bodyBytes},
		"decisions": map[string]any{"load-rate-share": 1},
	}
}

// configuration returns a configuration with one application and one service.
func (d *entryDeployment) configuration() any {
	hash := sha256.Sum256([]byte(token))
	return map[string]any{
		"adapters":     map[string]any{},
		"kinds":        map[string]any{"chat": map[string]any{"urgency": "interactive", "repeat": "allowed", "deadline": chatDeadline.String()}},
		"applications": map[string]any{applicationName: map[string]any{"token-hash": hex.EncodeToString(hash[:]), "kinds": []string{"chat"}}},
		"engines":      map[string]any{},
		"services": map[string]any{"ledger": map[string]any{
			"servers": []any{map[string]any{"name": "service", "failure-domain": "east-a", "address": d.serverAddress}},
		}},
	}
}

// writeJSON writes the content as JSON into a file and returns its path.
func (d *entryDeployment) writeJSON(name string, content any) string {
	d.t.Helper()
	encoded, err := json.Marshal(content)
	qt.Assert(d.t, err, qt.IsNil)
	path := filepath.Join(d.directory, name)
	qt.Assert(d.t, os.WriteFile(path, encoded, 0o600), qt.IsNil)
	return path
}

// entryRequestHead returns the head of a request of the crowd up to the headers that declare its
// body.
func entryRequestHead() string {
	return fmt.Sprintf("POST /services/ledger/book HTTP/1.1\r\nHost: host\r\nAuthorization: Bearer %s\r\n%s: chat\r\n", token, entry.HeaderKind)
}

// callerStatus sends a small ordinary request on a new connection and returns its status, or 0 if
// it got no answer.
func (d *entryDeployment) callerStatus() int {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddress+"/services/ledger/book", bytes.NewReader([]byte(`{}`)))
	qt.Assert(d.t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set(entry.HeaderKind, "chat")
	client := &http.Client{Timeout: ordinaryRequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}
