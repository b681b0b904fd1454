package site

import (
	"crypto/sha256"
	"time"
)

// A KeyDigest is the SHA-256 digest of an API key. The key itself is not kept, so that
// no log line, metric or message can hold it.
type KeyDigest [sha256.Size]byte

// NewKeyDigest returns the digest of an API key.
func NewKeyDigest(key string) KeyDigest {
	return sha256.Sum256([]byte(key))
}

// An OrganisationName names an organisation. Engines get it with each of its requests.
type OrganisationName string

// An Organisation is a customer whose callers share keys, a priority and a quota.
// Operators set it through the desired state.
type Organisation struct {
	// Name is unique among the organisations of a desired state and not empty.
	Name OrganisationName
	// Keys are the digests of the keys of its callers. No other organisation of the
	// desired state has one of them.
	Keys []KeyDigest
	// Priority is the urgency of its requests, before that of their routes; 0 is the
	// most urgent.
	Priority int
	// Quota limits its requests over all hosts.
	Quota Quota
}

// A QuotaUnit is what a quota counts.
type QuotaUnit string

// The units of quotas.
const (
	// QuotaRequests counts each request as 1.
	QuotaRequests QuotaUnit = "requests"
	// QuotaTokens counts the prompt tokens and the maximum output tokens of a request.
	QuotaTokens QuotaUnit = "tokens"
)

// A Quota limits the requests of an organisation over all hosts together.
type Quota struct {
	// Unit is QuotaRequests or QuotaTokens.
	Unit QuotaUnit
	// PerSecond is the number of units a second, or 0 if there is no limit. Burst is how
	// many more units may be used at once after a pause. Both are finite and not negative.
	PerSecond, Burst float64
	// DefaultTokens is the number of tokens of a request that does not state any.
	DefaultTokens int
}

// IsLimited reports whether the quota limits anything.
func (q Quota) IsLimited() bool {
	return q.PerSecond > 0
}

// A QuotaCharge is what a request has taken from the quota of its organisation.
type QuotaCharge struct {
	Organisation OrganisationName
	// Units is 0 if nothing was taken.
	Units float64
	// Granter is the name of the zone whose owner granted the units, or empty if the host
	// took them from its own share.
	Granter string
	// TakenAt is when the units were taken.
	TakenAt time.Time
}
