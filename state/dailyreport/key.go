package dailyreport

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// The layout of the keys of records in the object store. It is fixed, because stored
// records are found by it.
const (
	keyPrefix      = "daybook/"
	dateLayout     = time.DateOnly
	intervalLayout = "15-04"
)

// A Key identifies a record. There is one record for each interval of a process.
type Key struct {
	// Host and Start identify the process that counted.
	Host  fleet.HostName
	Start fleet.StartNumber
	// Interval is the start of the interval, a whole minute in UTC.
	Interval time.Time
}

// Key returns the key of the record, built from its Host, Start and Interval.
func (r *Record) Key() Key {
	return Key{Host: r.Host, Start: r.Start, Interval: r.Interval}
}

// DayPrefix returns the prefix of the object keys of all records of the UTC day that
// the time falls on.
func DayPrefix(day time.Time) string {
	return keyPrefix + day.UTC().Format(dateLayout) + "/"
}

// String returns the key of the record in the object store, in the form
// daybook/<date>/<host>/<start>/<interval>, with the date and the interval in UTC.
func (k Key) String() string {
	return fmt.Sprintf("%s%s/%d/%s", DayPrefix(k.Interval), k.Host, k.Start, k.Interval.UTC().Format(intervalLayout))
}

// ParseKey parses the key of an object, in the form that String returns. It returns an
// error for the keys of other objects.
func ParseKey(object string) (Key, error) {
	parts := strings.Split(strings.TrimPrefix(object, keyPrefix), "/")
	if !strings.HasPrefix(object, keyPrefix) || len(parts) != 4 || parts[1] == "" {
		return Key{}, fmt.Errorf("object %q: the key must have the form daybook/<date>/<host>/<start>/<interval>", object)
	}
	start, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Key{}, fmt.Errorf("object %q: start: %w", object, err)
	}
	interval, err := time.Parse(dateLayout+" "+intervalLayout, parts[0]+" "+parts[3])
	if err != nil {
		return Key{}, fmt.Errorf("object %q: interval: %w", object, err)
	}
	return Key{Host: fleet.HostName(parts[1]), Start: fleet.StartNumber(start), Interval: interval}, nil
}
