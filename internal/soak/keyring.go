package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/standin/site"
)

// The organisations of the desired state. The keys of trustedOrganisation and
// limitedOrganisation never change, those of rotatingOrganisation are replaced.
const (
	trustedOrganisation  = "university"
	limitedOrganisation  = "school"
	rotatingOrganisation = "library"

	trustedKey = "key-of-university"
	limitedKey = "key-of-school"
	// unknownKey belongs to no organisation.
	unknownKey = "key-of-nobody"
)

// The quota of limitedOrganisation in requests, which its callers exceed, and the bounds
// within which all hosts together have to keep it.
const (
	quotaPerSecond = 6
	quotaBurst     = 6
	quotaWindow    = 8 * time.Second
	quotaOverShare = 0.1
	quotaSlack     = 12
	maxQuotaRuns   = (quotaPerSecond*8+quotaBurst)*(1+quotaOverShare) + quotaSlack
)

// Every limitedEvery-th caller belongs to limitedOrganisation, the next one to
// rotatingOrganisation, and the one after that has unknownKey.
const limitedEvery = 10

// A keyring holds the keys of rotatingOrganisation, of which one is valid at a time.
type keyring struct {
	mutex   sync.Mutex
	present int
}

// rotatingKey returns the n-th key of rotatingOrganisation.
func rotatingKey(n int) string { return fmt.Sprintf("key-of-library-%d", n) }

// choose returns the organisation and the key of the n-th request of a caller. Callers of
// rotatingOrganisation use the key before the present one for every second request.
func (k *keyring) choose(caller, n int) (organisation, key string) {
	switch caller % limitedEvery {
	case 0:
		return limitedOrganisation, limitedKey
	case 1:
		k.mutex.Lock()
		defer k.mutex.Unlock()
		return rotatingOrganisation, rotatingKey(max(k.present-n%2, 0))
	case 2:
		if n%limitedEvery == 0 {
			return "", unknownKey
		}
	}
	return trustedOrganisation, trustedKey
}

// organisations returns the organisations in the form of the desired state.
func (k *keyring) organisations() []any {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return []any{
		map[string]any{"name": trustedOrganisation, "apiKeys": []string{trustedKey}, "priority": 0},
		map[string]any{"name": limitedOrganisation, "apiKeys": []string{limitedKey}, "priority": 1, "ratePerS": quotaPerSecond, "burst": quotaBurst},
		map[string]any{"name": rotatingOrganisation, "apiKeys": []string{rotatingKey(k.present)}, "priority": 1},
	}
}

// rotationInterval is the time between two changes of the keys. It is longer than
// maxConfigurationDelay, so that each change is in force before the next one.
const rotationInterval = 3500 * time.Millisecond

// rotateKeys replaces the key of rotatingOrganisation again and again until the end, and
// returns the promises that result: nothing runs with a key that is gone.
func (d *deployment) rotateKeys(ctx context.Context, end time.Time) []promise {
	var promises []promise
	for ctx.Err() == nil && time.Now().Add(rotationInterval).Before(end) {
		d.keys.mutex.Lock()
		removed := rotatingKey(d.keys.present)
		d.keys.present++
		d.keys.mutex.Unlock()
		must(d.writeDesiredState())
		from := time.Now().Add(maxConfigurationDelay)
		promises = append(promises, promise{name: "keys", from: from, isBroken: func(_ *run, a *attempt) bool {
			return a != nil && a.key == removed && a.sent.After(from)
		}})
		sleep(ctx, rotationInterval)
	}
	return promises
}

// checkQuota checks that no window has more runs of limitedOrganisation than its quota
// allows, with or without faults.
func checkQuota(records []site.Record, note func(promise, format string, arguments ...any)) {
	var times []time.Time
	for i := range records {
		if records[i].Kind == site.Ran && records[i].Organisation == limitedOrganisation {
			times = append(times, records[i].At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > quotaWindow {
			first++
		}
		if count := i - first + 1; float64(count) > maxQuotaRuns {
			note("quota", "%d requests of %s ran within %s until %s, allowed are %.1f", count, limitedOrganisation, quotaWindow, at.Format(time.TimeOnly+".000"), maxQuotaRuns)
			return
		}
	}
}
