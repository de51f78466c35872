package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/ctrl"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// steadyDuration is how long an idle cluster is measured.
	steadyDuration = 6 * time.Second
	// changeCount is the number of table changes that are timed.
	changeCount = 5
	// settleTimeout bounds the wait until every member sees the expected members.
	settleTimeout = 25 * time.Second
	// tableRows is the number of routes in the tables of a cluster.
	tableRows = 100
)

// node is one instance that runs only its control agent and counts its traffic.
type node struct {
	member.Member
	traffic
	agent *ctrl.Agent
	stop  context.CancelFunc
}

// cluster is one control instance and its members, all on loopback addresses.
type cluster struct {
	ctx    context.Context
	wg     sync.WaitGroup
	leader *node
	pool   *wire.Pool
	nodes  []*node
	// partition can split the network in two; nil means that it never does.
	partition *partition
}

// measureControl measures the traffic, CPU time and delays of control against the
// number of members.
func measureControl(ctx context.Context, r *report) error {
	out := make(map[string][]point)
	for _, n := range []int{10, 100, 200, 300} {
		if err := measureControlAt(ctx, n, designDataCentres, func(name string, y float64) {
			out[name] = append(out[name], point{float64(n), y})
		}); err != nil {
			return errors.Wrapf(err, "%d members", n)
		}
	}
	// Two data centres of the largest size in the design, so that each relay forwards
	// to as many members as it would there.
	const twoCentreMembers = 2 * ((designInstances + designDataCentres - 1) / designDataCentres)
	if err := measureControlAt(ctx, twoCentreMembers, 2, func(name string, y float64) {
		fmt.Fprintf(r.out, "control.whole.%-20s %.4g, %d members in 2 data centres\n", name, y, twoCentreMembers)
	}); err != nil {
		return errors.Wrap(err, "two data centres")
	}
	for _, s := range []struct{ name, unit string }{
		{"steady.cpu.all", "ms/s"},
		{"steady.leader", "B/s"},
		{"steady.relay.max", "B/s"},
		{"steady.member.median", "B/s"},
		{"heap.member", "bytes"},
		{"change.accepted.median", "ms"},
		{"change.accepted.max", "ms"},
		{"change.cpu.all", "ms"},
		{"change.leader", "bytes"},
		{"change.relay.max", "bytes"},
		{"change.member.median", "bytes"},
		{"restart.leader", "bytes"},
		{"restart.relay.max", "bytes"},
		{"restart.member.median", "bytes"},
		{"restart.cpu.all", "ms"},
		{"lost.seen", "ms"},
		{"lost.leader", "bytes"},
		{"lost.relay.max", "bytes"},
		{"lost.member.median", "bytes"},
		{"lost.cpu.all", "ms"},
	} {
		r.printSeries("control."+s.name, s.unit, "members", designInstances, out[s.name])
	}
	return nil
}

// measureControlAt measures one cluster of n members spread over the given number of
// data centres, and passes each value to record.
func measureControlAt(ctx context.Context, n, centres int, record func(name string, y float64)) error {
	ctx, stop := context.WithCancel(ctx)
	s := &cluster{ctx: ctx}
	defer s.wg.Wait()
	defer stop()
	before := heapInUse()
	if err := s.start(n, centres); err != nil {
		return err
	}
	if err := s.waitSettled(n); err != nil {
		return err
	}
	record("heap.member", (heapInUse()-before)/float64(n))
	w := s.readCounters()
	time.Sleep(steadyDuration)
	w.recordSince(record, "steady", steadyDuration.Seconds())
	if err := s.measureChanges(record); err != nil {
		return err
	}
	if err := s.measureRestart(record); err != nil {
		return err
	}
	return s.measureLostCentre(record)
}

// start starts the control instance and n members.
func (s *cluster) start(n, centres int) error {
	s.leader = &node{Member: member.Member{Name: "control", PeerAddr: "127.9.0.1:8401"}}
	m := &ctrl.Machine{}
	srv := &ctrl.Server{
		Tables: sampleTables(tableRows), Self: member.Process{Name: "control", Incarnation: 1}, Machine: m,
		Replicated: &ctrl.MemoryLog{Machine: m, Addr: s.leader.PeerAddr}, Log: quietLogger(),
	}
	s.leader.host, s.leader.partition = hostOf(s.leader.PeerAddr), s.partition
	if err := s.serve(s.ctx, s.leader, srv.Methods()); err != nil {
		return err
	}
	s.wg.Go(func() { _ = srv.Run(s.ctx) })
	s.pool = &wire.Pool{Dial: (&traffic{}).dial}
	for i := range n {
		m := sampleMember(i)
		m.DataCentre = centreName(i % centres)
		nd, err := s.startMember(m)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, nd)
	}
	return nil
}

// serve answers RPCs on the peer address of nd until ctx ends.
func (s *cluster) serve(ctx context.Context, nd *node, methods []wire.Method) error {
	ln, err := nd.listen(nd.PeerAddr)
	if err != nil {
		return errors.Wrapf(err, "listen on peer address %s", nd.PeerAddr)
	}
	srv := &wire.Server{Methods: methods}
	s.wg.Go(func() { _ = srv.Serve(ctx, ln) })
	return nil
}

// startMember starts the agent of m and its RPC server.
func (s *cluster) startMember(m member.Member) (*node, error) {
	nd := &node{Member: m}
	nd.host, nd.partition = hostOf(m.PeerAddr), s.partition
	pool := &wire.Pool{Dial: nd.dial}
	nd.agent = ctrl.NewAgent(m, &ctrl.Client{Seeds: []string{s.leader.PeerAddr}, Calls: pool}, pool, quietLogger())
	ctx, stop := context.WithCancel(s.ctx)
	nd.stop = stop
	if err := s.serve(ctx, nd, nd.agent.Methods()); err != nil {
		return nil, err
	}
	s.wg.Go(func() { _ = nd.agent.Run(ctx); _ = pool.Close() })
	return nd, nil
}

// waitSettled waits until every node holds a live lease and sees n members.
func (s *cluster) waitSettled(n int) error {
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		pending := slices.ContainsFunc(s.nodes, func(nd *node) bool {
			v := nd.agent.View()
			return v == nil || len(v.Members) != n || !nd.agent.Live()
		})
		if !pending {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Newf("some members have no live lease or do not see %d members after %s", n, settleTimeout)
}

// counters holds the traffic counters and CPU time of a cluster at one moment.
type counters struct {
	s      *cluster
	nodes  []*node
	leader int64
	bytes  []int64
	cpu    time.Duration
}

// readCounters reads the counters now.
func (s *cluster) readCounters() *counters {
	w := &counters{s: s, nodes: slices.Clone(s.nodes), leader: s.leader.bytes.Load(), cpu: cpuTime()}
	for _, nd := range w.nodes {
		w.bytes = append(w.bytes, nd.bytes.Load())
	}
	return w
}

// recordSince records the increase of each counter since w was read, divided by a number
// of seconds or changes.
func (w *counters) recordSince(record func(string, float64), name string, divisor float64) {
	var used []float64
	for i, nd := range w.nodes {
		used = append(used, float64(nd.bytes.Load()-w.bytes[i])/divisor)
	}
	slices.Sort(used)
	record(name+".leader", float64(w.s.leader.bytes.Load()-w.leader)/divisor)
	record(name+".relay.max", used[len(used)-1])
	record(name+".member.median", used[len(used)/2])
	record(name+".cpu.all", float64((cpuTime()-w.cpu).Microseconds())/1000/divisor)
}

// measureChanges times changes of the tables from the operator's call until control has
// accepted them, by which time every member must have the new revision.
func (s *cluster) measureChanges(record func(string, float64)) error {
	w := s.readCounters()
	var latencies []float64
	t := sampleTables(tableRows)
	for i := range changeCount {
		c := ctrl.Change{ID: fmt.Sprint("slope-", i), Operator: "slope", BaseRevision: s.nodes[0].agent.View().Revision, Tables: t}
		c.Tables.Routes = slices.Clone(t.Routes)
		c.Tables.Routes[i].Pool = "pool-7"
		began := time.Now()
		var out ctrl.Outcome
		if err := (&ctrl.Client{Seeds: []string{s.leader.PeerAddr}, Calls: s.pool}).Call(s.ctx, "ctrl.apply", &c, &out); err != nil {
			return err
		}
		latencies = append(latencies, float64(time.Since(began).Microseconds())/1000)
		for _, nd := range s.nodes {
			if nd.agent.View().Revision < out.Revision {
				return errors.Newf("member %s has revision %d, want at least the accepted %d", nd.Name, nd.agent.View().Revision, out.Revision)
			}
		}
	}
	w.recordSince(record, "change", changeCount)
	slices.Sort(latencies)
	record("change.accepted.median", latencies[changeCount/2])
	record("change.accepted.max", latencies[changeCount-1])
	return nil
}

// measureRestart replaces one process and measures the traffic and CPU time until every
// member sees its successor.
func (s *cluster) measureRestart(record func(string, float64)) error {
	w := s.readCounters()
	old := s.nodes[len(s.nodes)-1]
	if err := old.agent.SetState(s.ctx, member.Gone); err != nil {
		return err
	}
	old.stop()
	time.Sleep(time.Second)
	m := old.Member
	m.Incarnation++
	nd, err := s.startMember(m)
	if err != nil {
		return err
	}
	s.nodes[len(s.nodes)-1] = nd
	w.nodes = w.nodes[:len(w.nodes)-1]
	if err := s.waitSettled(len(s.nodes)); err != nil {
		return err
	}
	w.recordSince(record, "restart", 1)
	return nil
}

// measureLostCentre stops every member of one data centre without notice and waits until
// the remaining members have removed them.
func (s *cluster) measureLostCentre(record func(string, float64)) error {
	began := time.Now()
	var remaining []*node
	for _, nd := range s.nodes {
		if nd.DataCentre == centreName(0) {
			nd.stop()
			continue
		}
		remaining = append(remaining, nd)
	}
	s.nodes = remaining
	w := s.readCounters()
	if err := s.waitSettled(len(remaining)); err != nil {
		return err
	}
	record("lost.seen", float64(time.Since(began).Milliseconds()))
	w.recordSince(record, "lost", 1)
	return nil
}
