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

// The limits of reading a day.
const (
	// listLimit is the number of keys that are asked for at once.
	listLimit = 1000
	// readers is the number of objects that are read at once. It leaves most of
	// the object store's reads to the hosts.
	readers = 16
)

// A RecordSource has the objects of the records.
type RecordSource interface {
	// Get returns the object and whether it exists.
	Get(ctx context.Context, key string) (value []byte, found bool, err error)
	// List returns up to limit keys that have the prefix and sort after the
	// given key, in rising order.
	List(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// A Span is a time in which a process should have counted.
type Span struct {
	Host        fleet.HostName
	From, Until time.Time
}

// A DayRecords is what is known of a day, or of the part that has passed.
type DayRecords struct {
	// From and Until bound the day; Until is earlier than midnight while the
	// day lasts.
	From, Until time.Time
	// Records in any order, at most one for each key.
	Records []dailyreport.Record
	// ObservedSpans are spans in which hosts are known to have lived beyond what their
	// own records say.
	ObservedSpans []Span
	// UnreadableCount is the number of records that could not be decoded.
	UnreadableCount int
}

// ReadDay reads the records of a day in UTC. now is the present time: a host
// that lives may write its last counts up to two write periods later, so that
// the day ends there while it lasts.
func ReadDay(ctx context.Context, source RecordSource, date, now time.Time) (*DayRecords, error) {
	from := date.UTC().Truncate(24 * time.Hour)
	day := &DayRecords{From: from, Until: earlier(from.Add(24*time.Hour), now.UTC().Add(-2*dailyreport.WriteInterval))}
	keys, err := listDay(ctx, source, from)
	if err != nil {
		return nil, err
	}
	records := make([]*dailyreport.Record, len(keys))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(readers)
	for i, key := range keys {
		group.Go(func() error {
			value, found, err := source.Get(ctx, key.String())
			if err != nil {
				return fmt.Errorf("read record %s: %w", key, err)
			}
			var record dailyreport.Record
			if found && json.Unmarshal(value, &record) == nil && record.Key() == key && readable(&record) {
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
			day.ObservedSpans = append(day.ObservedSpans, minuteOf(keys[i].Host, keys[i].Interval))
			continue
		}
		day.Records = append(day.Records, *record)
		for _, host := range record.ObservedHosts {
			day.ObservedSpans = append(day.ObservedSpans, minuteOf(host, record.Interval))
		}
	}
	return day, nil
}

func minuteOf(host fleet.HostName, interval time.Time) Span {
	return Span{Host: host, From: interval, Until: interval.Add(dailyreport.Interval)}
}

// readable says whether the times and histograms of a record can be used.
func readable(r *dailyreport.Record) bool {
	if r.From.Before(r.Interval) || r.From.Before(r.CountingSince) || r.Until.Before(r.From) || r.Until.After(r.Interval.Add(dailyreport.Interval)) {
		return false
	}
	for i := range r.Counts {
		for _, histogram := range []string{r.Counts[i].LoadStalls, r.Counts[i].Durations} {
			if _, err := decoded(histogram); err != nil {
				return false
			}
		}
	}
	return true
}

func listDay(ctx context.Context, source RecordSource, day time.Time) ([]dailyreport.Key, error) {
	var keys []dailyreport.Key
	after := ""
	for {
		page, err := source.List(ctx, dailyreport.DayPrefix(day), after, listLimit)
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
		if len(page) < listLimit {
			return keys, nil
		}
		after = page[len(page)-1]
	}
}
