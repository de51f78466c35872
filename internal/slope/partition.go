package main

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// partitionDuration is how long the network is partitioned.
	partitionDuration = 8 * time.Second
	// leaseTimeout is the time after which no member on the far side may still hold a lease.
	leaseTimeout = 5 * time.Second
	// farCentres is the number of data centres on the far side.
	farCentres = 4
)

// measurePartition measures the recovery when the data centres on the far side are cut off
// from the leader and reconnect.
func measurePartition(ctx context.Context, r *report) error {
	out := make(map[string][]point)
	for _, n := range []int{44, 132, 264} {
		if err := measurePartitionAt(ctx, n, func(name string, y float64) {
			out[name] = append(out[name], point{float64(n), y})
		}); err != nil {
			return errors.Wrapf(err, "%d members", n)
		}
	}
	for _, s := range []struct{ name, unit string }{
		{"healed", "ms"}, {"heal.leader", "bytes"}, {"heal.relay.max", "bytes"}, {"heal.member.median", "bytes"}, {"heal.cpu.all", "ms"},
	} {
		r.printSeries("parted."+s.name, s.unit, "members", designInstances, out[s.name])
	}
	return nil
}

// measurePartitionAt measures one partition and recovery of a cluster of n members.
func measurePartitionAt(ctx context.Context, n int, record func(string, float64)) error {
	ctx, stop := context.WithCancel(ctx)
	far := make(map[string]bool)
	for i := range n {
		if i%designDataCentres < farCentres {
			far[hostOf(sampleMember(i).PeerAddr)] = true
		}
	}
	s := &cluster{ctx: ctx, partition: &partition{isFar: func(host string) bool { return far[host] }}}
	defer s.wg.Wait()
	defer stop()
	if err := s.start(n, designDataCentres); err != nil {
		return err
	}
	if err := s.waitSettled(n); err != nil {
		return err
	}
	s.partition.active.Store(true)
	time.Sleep(leaseTimeout)
	if slices.ContainsFunc(s.nodes, func(nd *node) bool { return far[nd.host] && nd.agent.Live() }) {
		return errors.Newf("a member cut off from the leader still holds a lease after %s", leaseTimeout)
	}
	time.Sleep(partitionDuration - leaseTimeout)
	w := s.readCounters()
	s.partition.active.Store(false)
	healedAt := time.Now()
	if err := s.waitSettled(n); err != nil {
		return err
	}
	record("healed", float64(time.Since(healedAt).Milliseconds()))
	w.recordSince(record, "heal", 1)
	return nil
}
