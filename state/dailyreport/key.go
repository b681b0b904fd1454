package dailyreport

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// The parts of keys.
const (
	keyPrefix      = "daybook/"
	dateLayout     = time.DateOnly
	intervalLayout = "15-04"
)

// A Key identifies a record.
type Key struct {
	Host  fleet.HostName
	Start fleet.StartNumber
	// Interval is the start of the interval, a whole minute in UTC.
	Interval time.Time
}

// Key returns the key of the record.
func (r *Record) Key() Key {
	return Key{Host: r.Host, Start: r.Start, Interval: r.Interval}
}

// DayPrefix returns the prefix of the keys of a day in UTC.
func DayPrefix(day time.Time) string {
	return keyPrefix + day.UTC().Format(dateLayout) + "/"
}

// String returns the key of the object: daybook/<date>/<host>/<start>/<interval>.
func (k Key) String() string {
	return fmt.Sprintf("%s%s/%d/%s", DayPrefix(k.Interval), k.Host, k.Start, k.Interval.UTC().Format(intervalLayout))
}

// ParseKey returns the Key of an object.
func ParseKey(object string) (Key, error) {
	parts := strings.Split(strings.TrimPrefix(object, keyPrefix), "/")
	if !strings.HasPrefix(object, keyPrefix) || len(parts) != 4 || parts[1] == "" {
		return Key{}, fmt.Errorf("object %q: not the key of a record", object)
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
