package ownership

import (
	"time"
)

// Settings are the limits of an Owner. A zero field means its default.
type Settings struct {
	// IsolatedServiceLimit is how long an owner goes on granting resident
	// instances after its lease was last valid. All hosts use the same value,
	// because a new owner waits this long for a previous one to stop granting.
	IsolatedServiceLimit time.Duration
	// GrantLimit is the longest duration of a grant. All hosts use the same value.
	GrantLimit time.Duration
	// OrderTimeout bounds each call to an engine and each collection of holdings.
	OrderTimeout time.Duration
	// ReportInterval is the time between two readings of the engine's report.
	ReportInterval time.Duration
	// LoadConcurrencyLimit is the largest number of loads and unloads in flight
	// on the engine. It also limits the load permits that are held or waited for.
	LoadConcurrencyLimit int
	// QueueLimit is the largest number of grant requests that wait for loads.
	QueueLimit int
	// MaxBackoff is the longest delay after a failed load before the same adapter
	// is loaded again.
	MaxBackoff time.Duration
}

// The defaults of Settings.
const (
	DefaultIsolatedServiceLimit = 15 * time.Minute
	DefaultGrantLimit           = 2 * time.Minute
	DefaultOrderTimeout         = 10 * time.Second
	DefaultReportInterval       = time.Second
	DefaultLoadConcurrencyLimit = 2
	DefaultQueueLimit           = 1024
	DefaultMaxBackoff           = time.Minute
)

func (s Settings) complete() Settings {
	return Settings{
		IsolatedServiceLimit: orDefault(s.IsolatedServiceLimit, DefaultIsolatedServiceLimit),
		GrantLimit:           orDefault(s.GrantLimit, DefaultGrantLimit),
		OrderTimeout:         orDefault(s.OrderTimeout, DefaultOrderTimeout),
		ReportInterval:       orDefault(s.ReportInterval, DefaultReportInterval),
		LoadConcurrencyLimit: orDefault(s.LoadConcurrencyLimit, DefaultLoadConcurrencyLimit),
		QueueLimit:           orDefault(s.QueueLimit, DefaultQueueLimit),
		MaxBackoff:           orDefault(s.MaxBackoff, DefaultMaxBackoff),
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
