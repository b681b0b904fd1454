package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/persimmonmux/persimmonmux/standin/platform"
)

// putJSON sends the body as JSON to the platform. A status other than 200 is an
// error.
func (d *deployment) putJSON(path string, body any) error {
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPut, "http://"+d.platformAddress+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("platform: status %d, expected 200", answer.StatusCode)
	}
	return nil
}

// setRow writes a row of a table of the platform, or deletes it if the value is nil.
func (d *deployment) setRow(table, key string, value any) error {
	row := map[string]any{"table": table, "key": key}
	if value == nil {
		return d.putJSON(platform.PathRows, map[string]any{"delete": []any{row}})
	}
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	row["value"] = content
	return d.putJSON(platform.PathRows, map[string]any{"setKeys": []any{row}})
}

// writeDesiredState writes the desired state with the next version number. Bookings
// and lookups are routed to bookingTarget.
func (d *deployment) writeDesiredState() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stateVersion += 3
	return d.writePresentState()
}

// rewriteOperatorRows writes the present desired state and the declared versions again, which the
// store may have lost.
func (d *deployment) rewriteOperatorRows() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for adapter, version := range d.adapterVersions {
		if err := d.writeVersion(adapter, version); err != nil {
			return err
		}
	}
	return d.writePresentState()
}

// writePresentState writes the desired state with its present version. The mutex is held.
func (d *deployment) writePresentState() error {
	route := func(name, kind, service string, priority, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": callHost, "prefix": "/" + name + "/", "routeType": kind, "backend": service, "priority": priority,
			"maxAttempts": attempts, "resumable": resumable, "timeoutMs": 6000, "targetLatencyMs": 600, "gapTargetMs": 300,
		}
	}
	return d.setRow("op", "config", map[string]any{
		"version": d.stateVersion,
		"routes": []any{
			route(string(chat), "streaming", engineService, 1, 2, true),
			route(string(adviser), "streaming", engineService, 0, 1, false),
			route(string(booking), "unsafe", d.bookingTarget, 1, 1, false),
			route(string(lookup), "safe", d.bookingTarget, 2, 2, false),
		},
		"backends": []any{
			map[string]any{"name": engineService, "healthPath": "/healthz", "maxConns": 400, "engine": map[string]any{
				"slots": 8, "kvCacheTokens": 100000, "weightsMb": 80000, "adapterSlots": 6, "loadsPerS": 3,
				"models": []any{map[string]any{"name": modelName, "weightsMb": 70000, "loadTimeS": 0.4, "adapters": adapterCount, "adapterMb": 60}},
			}},
			map[string]any{"name": bookingService, "healthPath": "/healthz", "maxConns": 100},
			map[string]any{"name": otherService, "healthPath": "/healthz", "maxConns": 100},
		},
		"tenants": d.keys.organisations(),
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
}

// switchBookingTarget routes bookings and lookups to the other plain service and
// returns its name.
func (d *deployment) switchBookingTarget() (string, error) {
	d.mutex.Lock()
	if d.bookingTarget == bookingService {
		d.bookingTarget = otherService
	} else {
		d.bookingTarget = bookingService
	}
	target := d.bookingTarget
	d.mutex.Unlock()
	return target, d.writeDesiredState()
}

// declareVersion sets the next version of an adapter as the desired one and returns
// it.
func (d *deployment) declareVersion(adapter string) (int, error) {
	d.mutex.Lock()
	d.adapterVersions[adapter] = max(d.adapterVersions[adapter], 1) + 1
	version := d.adapterVersions[adapter]
	d.mutex.Unlock()
	return version, d.writeVersion(adapter, version)
}

// writeVersion writes the row that declares a version of an adapter.
func (d *deployment) writeVersion(adapter string, version int) error {
	return d.setRow("op", "version/"+modelName+"."+adapter, map[string]any{"model": modelName, "adapter": adapter, "version": version})
}
