package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// peersPerExchange is the number of hosts that the evidence is exchanged with at
	// once. Each exchange goes both ways, so that the number of hosts with a piece of
	// evidence grows about fourfold with each interval.
	peersPerExchange = 2
	// activeInterval is the time between exchanges for activeDuration after the start
	// and after each change of the evidence, and quietInterval the time between later
	// ones.
	activeInterval = 300 * time.Millisecond
	activeDuration = 5 * time.Second
	quietInterval  = 2 * time.Second
	// minExchangeInterval bounds the exchanges while the evidence changes often.
	minExchangeInterval = 100 * time.Millisecond
	// exchangeTimeout bounds one exchange. It is less than quietInterval, so that the
	// exchanges with silent hosts do not add up.
	exchangeTimeout = time.Second
)

// exchange sends the evidence to some other hosts on worker goroutines and sets
// nextExchange. Without evidence it asks only while the host is new.
func (q *Quarantine) exchange(ctx context.Context, now time.Time) {
	active := now.Sub(q.changedAt) < activeDuration
	q.lastExchange, q.nextExchange = now, now.Add(quietInterval)
	if active {
		q.nextExchange = now.Add(activeInterval)
	}
	if len(q.ledger.evidence.ends) > 0 && !active {
		// Blocks end and evidence is forgotten with time.
		q.publish(now)
	}
	if q.Peers == nil || len(q.ledger.evidence.ends) == 0 && !active {
		return
	}
	for _, address := range q.choosePeers(peersPerExchange) {
		q.lifecycle.Go(func() { q.exchangeWith(ctx, address) })
	}
}

// exchangeWith asks the host at the address for the observations that this host lacks, and
// sends it those that it lacks.
func (q *Quarantine) exchangeWith(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	began := time.Now()
	l := q.published.Load().ledger
	request := site.QuarantineReport{Known: l.known(), Clocks: l.clocks(time.Now())}
	reply, err := q.Peers.ExchangeQuarantine(ctx, address, request)
	if err == nil {
		q.receive(reply)
		request = q.answer(reply)
		if len(request.Observations) > 0 {
			_, err = q.Peers.ExchangeQuarantine(ctx, address, request)
		}
	}
	if err != nil {
		q.Log.Info().Err(err).Str("address", address).Int("processes", len(request.Observations)).
			Dur("duration", time.Since(began)).Msg("evidence could not be exchanged")
	}
}

// Receive records the report of another host and returns what that host lacks.
func (q *Quarantine) Receive(report site.QuarantineReport) site.QuarantineReport {
	q.prepare()
	q.receive(report)
	return q.answer(report)
}

// receive records the observations of a report and the clocks in it. Those that the full ring
// refuses are sent again, because this host goes on to tell that it lacks them.
func (q *Quarantine) receive(report site.QuarantineReport) {
	if zeros := q.published.Load().ledger.earlierClockZeros(report.Clocks, time.Now()); len(zeros) > 0 {
		q.messages.Offer(clockZeros(zeros))
	}
	if len(report.Observations) > 0 {
		q.messages.Offer(peerReport(report.Observations))
	}
}

// answer returns a report with what the sender of the given one lacks.
func (q *Quarantine) answer(report site.QuarantineReport) site.QuarantineReport {
	l, now := q.published.Load().ledger, time.Now()
	return site.QuarantineReport{Known: l.known(), Clocks: l.clocks(now), Observations: l.missing(report.Known, now)}
}

// choosePeers returns the addresses of up to count other hosts, chosen at random. The first
// one is of the region of this host if there is one, because links between regions are narrow.
func (q *Quarantine) choosePeers(count int) []string {
	hosts := q.Views.View().Hosts
	region := ""
	if self := hosts[q.Self]; self != nil {
		region = self.Region
	}
	var others []*site.Host
	for _, host := range hosts {
		if host.Name != q.Self {
			others = append(others, host)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	if near := slices.IndexFunc(others, func(host *site.Host) bool { return host.Region == region }); near > 0 {
		others[0], others[near] = others[near], others[0]
	}
	var addresses []string
	for _, host := range others[:min(len(others), count)] {
		addresses = append(addresses, host.Address)
	}
	return addresses
}
