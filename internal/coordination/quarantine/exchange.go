package quarantine

import (
	"context"
	"math/rand/v2"
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
	minExchangeInterval = 50 * time.Millisecond
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
	if len(q.evidence.ends) > 0 && !active {
		// Blocks end and evidence is forgotten with time.
		q.publish(now)
	}
	if q.Peers == nil || len(q.evidence.ends) == 0 && !active {
		return
	}
	report := q.report()
	for _, address := range q.choosePeers() {
		q.lifecycle.Go(func() {
			limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()
			reply, err := q.Peers.ExchangeQuarantine(limited, address, report)
			if err != nil {
				q.Log.Info().Err(err).Str("address", address).Int("ends", len(report.Ends)).Int("sound-traits", len(report.SoundTraits)).
					Dur("duration", time.Since(now)).Msg("evidence could not be exchanged")
				return
			}
			if len(reply.Ends) > 0 {
				q.messages.Offer(peerReport(reply))
			}
		})
	}
}

// choosePeers returns the addresses of peersPerExchange other hosts, chosen at random.
func (q *Quarantine) choosePeers() []string {
	var others []*site.Host
	for _, host := range q.Views.View().Hosts {
		if host.Name != q.Self {
			others = append(others, host)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var addresses []string
	for _, host := range others[:min(len(others), peersPerExchange)] {
		addresses = append(addresses, host.Address)
	}
	return addresses
}
