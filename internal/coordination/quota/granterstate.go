package quota

import (
	"time"

	"github.com/persimmonmux/persimmonmux/coordination/allowance"
	"github.com/persimmonmux/persimmonmux/state/site"
)

// A granterState is what this host knows of the owner of a zone as a granter, and what waits
// for the next calls to it. The goroutine of Run owns it.
type granterState struct {
	pending []*ask
	returns []site.QuotaCharge
	// inFlight is the number of calls without an answer.
	inFlight int
	// silentUntil is the time until which silentOwner, the owner under silentEpoch, is not
	// asked because it did not answer. Then one call at a time is made until it answers.
	silentUntil time.Time
	silentOwner string
	silentEpoch uint64
	rooms       map[site.OrganisationName]room
	zone        string
}

// A room is what a granter had left of its part of a quota at a time.
type room struct {
	part
	units float64
	at    time.Time
	// retryAfter is what the granter told the last caller that it refused.
	retryAfter time.Duration
	isRefused  bool
}

// isSilent reports whether the owner did not answer lately and is not to be asked now.
func (g *granterState) isSilent(owner *site.Host, now time.Time) bool {
	if owner.Name != g.silentOwner || owner.OwnedZones[g.zone] != g.silentEpoch {
		return false
	}
	return g.inFlight > 0 || now.Before(g.silentUntil)
}

// recordSilence records that the owner did not answer.
func (g *granterState) recordSilence(owner *site.Host, now time.Time) {
	g.silentOwner, g.silentEpoch = owner.Name, owner.OwnedZones[g.zone]
	g.silentUntil = now.Add(silenceDuration)
}

// recordAnswer records that the owner answers.
func (g *granterState) recordAnswer() {
	g.silentOwner = ""
}

// knownWait returns the time for which the granter certainly does not have the units of the
// ask, as far as its last answer tells.
func (g *granterState) knownWait(a *ask, now time.Time) time.Duration {
	known, ok := g.rooms[a.organisation]
	if !ok || !known.isRefused || a.isRepeat {
		return 0
	}
	return max(allowance.WaitFor(a.units-known.units, known.perSecond)-now.Sub(known.at), 0)
}

// addReturn has the units of a charge given back with the next call, which also brings them
// to the requests of that call.
func (g *granterState) addReturn(charge site.QuotaCharge) {
	g.returns = append(g.returns, charge)
	if known, ok := g.rooms[charge.Organisation]; ok {
		known.units += charge.Units
		g.rooms[charge.Organisation] = known
	}
}

// roomAt returns the units that the granter has if nobody has taken any since its last
// answer.
func (g *granterState) roomAt(name site.OrganisationName, p part, now time.Time) float64 {
	known, ok := g.rooms[name]
	if !ok {
		return p.capacity
	}
	return min(known.units+known.perSecond*now.Sub(known.at).Seconds(), p.capacity)
}

// takeBatch removes the asks and returns of the next call. Asks whose requests no longer
// wait are left out.
func (g *granterState) takeBatch(version int64, now time.Time) (site.QuotaRequest, []*ask) {
	request := site.QuotaRequest{Zone: g.zone, DesiredVersion: version}
	var asks []*ask
	for len(g.pending) > 0 && len(asks) < maxAsksPerCall {
		a := g.pending[0]
		g.pending = g.pending[1:]
		if a.isEnded.Load() {
			continue
		}
		asks = append(asks, a)
		request.Asks = append(request.Asks, site.QuotaAsk{Organisation: a.organisation, Units: a.units, IsRepeat: a.isRepeat})
	}
	for _, charge := range g.returns {
		request.Returns = append(request.Returns, site.QuotaReturn{Organisation: charge.Organisation, Units: charge.Units, Age: now.Sub(charge.TakenAt)})
	}
	g.returns = nil
	return request, asks
}
