package main

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/persimmonmux/persimmonmux/standin/relay"
)

// A host is the process of a front host, with the relay through which it reaches the
// platform.
type host struct {
	process
	zone          string
	callerAddress string
	readyAddress  string
	platformRelay *relay.Relay
}

// addHost adds a front host to the deployment and starts it.
func (d *deployment) addHost(name, zone string) error {
	var addresses [4]string
	for i := range addresses {
		address, err := d.freeAddress()
		if err != nil {
			return err
		}
		addresses[i] = address
	}
	platformRelay, err := d.newRelay(d.platformAddress)
	if err != nil {
		return err
	}
	content, err := json.Marshal(map[string]any{
		"host-name": name, "failure-domain": zone, "regions": zoneRegions,
		"caller-address": addresses[0], "ready-address": addresses[1], "peer-address": addresses[2], "metrics-address": addresses[3],
		"platform-address": platformRelay.Address,
		"repeats":          map[string]any{"window": "10s", "share": 0.2, "slack": 60},
		"quotas":           map[string]any{"window": quotaWindow.String(), "over-share": quotaOverShare, "slack": quotaSlack},
	})
	if err != nil {
		return err
	}
	file := filepath.Join(d.directory, name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	h := &host{zone: zone, callerAddress: addresses[0], readyAddress: addresses[1], platformRelay: platformRelay}
	h.process = d.newProcess(name, "persimmonmux", "front", "--settings", file)
	d.hosts = append(d.hosts, h)
	return h.start()
}

// readyTimeout bounds a request to /readyz.
const readyTimeout = time.Second

// isReady reports whether /readyz of the host answers with status 200, as a load
// balancer checks it.
func (h *host) isReady() bool {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + h.readyAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
