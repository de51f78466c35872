package hub

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/timing"
)

// balanceInterval is how often the leader decides from the load of the instances; they report it every
// link.HeartbeatInterval.
const balanceInterval = time.Second

// watchDemand decides, while this instance leads, from which data centres look-ups send callers to
// others, until ctx ends.
func (s *Server) watchDemand(ctx context.Context) error {
	var b *balance
	timing.Every(ctx, balanceInterval, func() {
		leads, since := s.leadership()
		switch {
		case !leads:
			b = nil
			return
		case time.Since(since) < entryGrace:
			// The loads of a part of the instances would mislead.
			return
		case b == nil:
			b = newBalance(time.Now(), s.Regions, s.spreads())
		}
		s.balanceDemand(b)
	})
	return nil
}

// leadership returns whether this instance leads, and since when.
func (s *Server) leadership() (leads bool, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leading, s.leadingSince
}

// balanceDemand makes one decision, and schedules a broadcast if it changes what look-ups answer.
func (s *Server) balanceDemand(b *balance) {
	s.mu.Lock()
	loads := make(map[string]link.Load, len(s.sessions))
	for sess := range s.sessions {
		if sess.load != nil {
			loads[sess.hello.Name] = *sess.load
		}
	}
	entries := s.linkedEntriesLocked()
	s.mu.Unlock()
	changed := b.step(time.Now(), loadReport(entries, loads))
	spreads := b.spreads()
	s.directory.setSpreads(spreads)
	metrics.GetOrRegisterGauge("hub.spread_data_centres", s.Metrics).Update(int64(len(spreads)))
	for _, name := range changed {
		s.counter("hub.spread_changes").Inc(1)
		e := s.Log.Info().Str("data_centre", name)
		if c := b.centres[name]; c != nil {
			mean, _ := b.regionMean(name)
			e.Float64("share", c.spread.Share()).Any("to", c.spread.Parts).Float64("load", c.load).Float64("demand", c.demand).
				Float64("mean", mean).Dur("delay", c.delay).Int("entries", c.instances)
		}
		e.Msg("share of callers sent to other data centres changed")
	}
	if len(changed) > 0 {
		s.mu.Lock()
		s.changeEntriesLocked()
		s.mu.Unlock()
	}
}
