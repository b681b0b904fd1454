package dailyreport

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/persimmonmux/persimmonmux/state/dailyreport"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// The limits of ReadDay.
const (
	// listPageSize is the most keys that one call of List returns.
	listPageSize = 1000
	// maxConcurrentReads is the most objects that are read at the same time. It
	// leaves most of the object store's read capacity to the hosts.
	maxConcurrentReads = 16
)

// RecordSource reads the objects in which the records are stored.
type RecordSource interface {
	// Get returns the value of an object and whether the object exists.
	Get(ctx context.Context, key string) (value []byte, found bool, err error)
	// List returns up to limit keys that have the prefix and sort after the
	// given key, in ascending order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// A Span is a period of time on one host: one in which a process should have
// counted requests, or one that its records cover.
type Span struct {
	Host        fleet.HostName
	From, Until time.Time
}

// DayRecords has the records of a day and the spans that show where records are
// missing. For the current day it covers the part that has passed.
type DayRecords struct {
	// From and Until bound the evaluated part of the day. For the current day,
	// Until is before midnight.
	From, Until time.Time
	// Records are in any order, at most one for each key.
	Records []dailyreport.Record
	// ObservedSpans are the intervals in which a host is known to have been live
	// from another source than a readable record of its own: it is named in a
	// record of another host, or its own record is unreadable.
	ObservedSpans []Span
	// UnreadableCount is the number of records that are missing after they were
	// listed, could not be decoded, do not match their key or have invalid times
	// or histograms.
	UnreadableCount int
}

// ReadDay reads the records of a day in UTC. now is the current time. A live host
// may write its latest counts up to two write intervals late, so for the current
// day Until is two write intervals before now; otherwise those counts would look
// like a gap.
func ReadDay(ctx context.Context, source RecordSource, date, now time.Time) (*DayRecords, error) {
	from := date.UTC().Truncate(24 * time.Hour)
	day := &DayRecords{From: from, Until: earlier(from.Add(24*time.Hour), now.UTC().Add(-2*dailyreport.WriteInterval))}
	keys, err := listKeys(ctx, source, from)
	if err != nil {
		return nil, err
	}
	records := make([]*dailyreport.Record, len(keys))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentReads)
	for i, key := range keys {
		group.Go(func() error {
			value, found, err := source.Get(ctx, key.String())
			if err != nil {
				return fmt.Errorf("read record %s: %w", key, err)
			}
			var record dailyreport.Record
			if found && json.Unmarshal(value, &record) == nil && record.Key() == key && isReadable(&record) {
				records[i] = &record
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i, record := range records {
		if record == nil {
			day.UnreadableCount++
			day.ObservedSpans = append(day.ObservedSpans, intervalSpan(keys[i].Host, keys[i].Interval))
			continue
		}
		day.Records = append(day.Records, *record)
		for _, host := range record.ObservedHosts {
			day.ObservedSpans = append(day.ObservedSpans, intervalSpan(host, record.Interval))
		}
	}
	return day, nil
}

// intervalSpan returns the span of a whole interval of a host.
func intervalSpan(host fleet.HostName, interval time.Time) Span {
	return Span{Host: host, From: interval, Until: interval.Add(dailyreport.Interval)}
}

// isReadable reports whether the times of a record are consistent and its histograms
// can be decoded.
func isReadable(r *dailyreport.Record) bool {
	if r.From.Before(r.Interval) || r.From.Before(r.CountingSince) || r.Until.Before(r.From) || r.Until.After(r.Interval.Add(dailyreport.Interval)) {
		return false
	}
	for i := range r.Counts {
		for _, histogram := range []string{r.Counts[i].LoadStalls, r.Counts[i].Durations} {
			if _, err := decodeHistogram(histogram); err != nil {
				return false
			}
		}
	}
	return true
}

// listKeys returns the keys of all records of a day.
func listKeys(ctx context.Context, source RecordSource, day time.Time) ([]dailyreport.Key, error) {
	var keys []dailyreport.Key
	after := ""
	for {
		page, err := source.List(ctx, dailyreport.DayPrefix(day), after, listPageSize)
		if err != nil {
			return nil, fmt.Errorf("list records: %w", err)
		}
		for _, object := range page {
			key, err := dailyreport.ParseKey(object)
			if err != nil {
				return nil, err
			}
			keys = append(keys, key)
		}
		if len(page) < listPageSize {
			return keys, nil
		}
		after = page[len(page)-1]
	}
}
