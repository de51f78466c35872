package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/ctrl"
	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/internal/quota"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// The size of the largest installation in the design, to which the fits are extrapolated.
const (
	designInstances     = 560
	designDataCentres   = 11
	designModels        = 40
	designTargets       = 7800
	designOrganisations = 21000
	designShards        = designModels * designDataCentres
)

// quietLogger returns a logger that drops everything below the panic level.
func quietLogger() *log.Logger { return &log.Logger{Level: log.PanicLevel} }

// sampleTables returns tables with n routes, spread over at most designModels pools.
func sampleTables(n int) table.Tables {
	var t table.Tables
	pools := min(n, designModels)
	for i := range pools {
		t.Pools = append(t.Pools, table.Pool{Name: fmt.Sprintf("pool-%d", i), Kind: table.Engine, Model: fmt.Sprintf("model-%d", i)})
	}
	for i := range n {
		t.Routes = append(t.Routes, table.Route{
			Name: fmt.Sprintf("route-%d", i), Pool: fmt.Sprintf("pool-%d", i%pools), Limit: table.Duration(time.Minute),
			Match: table.Match{Model: fmt.Sprintf("model-%d", i%pools), Organisation: fmt.Sprintf("org-%d", i)},
		})
	}
	return t
}

// encodedSize returns the size of v in CBOR, in bytes.
func encodedSize(v any) float64 {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // Every type that is passed here can be encoded.
	}
	return float64(len(b))
}

// measureTables measures decoding a table, looking up its last route and its encoded size
// against the number of routes.
func measureTables(_ context.Context, r *report) error {
	var decode, lookup, bytes []point
	for _, n := range []int{10, 100, 300, 1000} {
		t := sampleTables(n)
		b, err := table.Encode(&t)
		if err != nil {
			return err
		}
		x := float64(n)
		decode = append(decode, point{x, meanMicros(func() { _, err = table.Decode(b) })})
		if err != nil {
			return err
		}
		last := table.Match{Path: "/v1/completions", Model: t.Routes[n-1].Match.Model, Organisation: t.Routes[n-1].Match.Organisation}
		lookup = append(lookup, point{x, meanMicros(func() { t.Route(last) })})
		bytes = append(bytes, point{x, encodedSize(t)})
	}
	r.printSeries("table.decode", "us", "rows", 1000, decode)
	r.printSeries("table.lookup.last", "us", "rows", 1000, lookup)
	r.printSeries("table.encoded", "bytes", "rows", 1000, bytes)
	return nil
}

// measureViews measures the size of the view of members and leases that every instance
// holds.
func measureViews(_ context.Context, r *report) error {
	var bytes []point
	for _, n := range []int{10, 30, 100, 300} {
		bytes = append(bytes, point{float64(n), encodedSize(sampleView(n))})
	}
	r.printSeries("view.encoded", "bytes", "instances", designInstances, bytes)
	return nil
}

// sampleView returns a view with n instances and a lease for each shard.
func sampleView(n int) *member.View {
	v := &member.View{Revision: 1, Version: 1}
	for i := range n {
		v.Members = append(v.Members, sampleMember(i))
	}
	for p := range designModels {
		for dc := range designDataCentres {
			v.Leases = append(v.Leases, member.Lease{
				Shard:  member.Shard{Pool: fmt.Sprintf("pool-%d", p), DataCentre: centreName(dc)},
				Holder: v.Members[(p*designDataCentres+dc)%n].Name, Epoch: uint64(p),
			})
		}
	}
	return v
}

// centreName returns the name of data centre n, modulo the number of data centres.
func centreName(n int) string { return fmt.Sprintf("centre-%d", n%designDataCentres) }

// sampleMember returns member n, with a loopback address of its own.
func sampleMember(n int) member.Member {
	addr := func(port int) string { return fmt.Sprintf("127.%d.%d.%d:%d", 10+n/62500, n/250%250, 1+n%250, port) }
	return member.Member{
		Name: fmt.Sprintf("instance-%d", n), DataCentre: centreName(n), CallerAddr: addr(8400), PeerAddr: addr(8401),
		OperatorAddr: addr(8402), Incarnation: 1, State: member.Serving,
	}
}

// measureSchedulers measures the scheduler of one shard, and one scheduler that holds all
// targets unsharded.
func measureSchedulers(_ context.Context, r *report) error {
	if err := measureShards(r, "sched.shard", designTargets/designShards, []int{9, 18, 36, 64}); err != nil {
		return err
	}
	return measureShards(r, "sched.unsplit", designTargets, []int{100, 400, 2000, 8000})
}

// measureShards measures a scheduler against its number of targets: the time of a
// decision and of an announcement, and the memory.
func measureShards(r *report, name string, size float64, counts []int) error {
	var decide, announce, memory []point
	for _, n := range counts {
		before := heapInUse()
		c := &policy.Core{Epoch: 1}
		now := time.Unix(0, 0)
		for i := range n {
			c.Step(now, policy.Announce{News: sampleAnnouncement(i)})
		}
		x := float64(n)
		memory = append(memory, point{x, heapInUse() - before})
		id, granted := 0, 0
		decide = append(decide, point{x, meanMicros(func() {
			id++
			name := fmt.Sprint(id)
			out := c.Step(now, policy.Arrive{Ask: policy.Ask{ID: name, Organisation: "a", Prompt: 1000, Output: 450, Left: time.Minute}})
			granted += countGrants(out)
			c.Step(now, policy.Release{Grant: name})
		})})
		if c.Granted() != 0 || granted != id {
			return errors.Newf("%d of %d requests were granted and %d grants were not released, want all granted and none left", granted, id, c.Granted())
		}
		announce = append(announce, point{x, meanMicros(func() { c.Step(now, policy.Announce{News: sampleAnnouncement(id % n)}); id++ })})
		runtime.KeepAlive(c)
	}
	r.printSeries(name+".decide", "us", "targets", size, decide)
	r.printSeries(name+".announce", "us", "targets", size, announce)
	r.printSeries(name+".memory", "bytes", "targets", size, memory)
	return nil
}

// countGrants returns how many of the decisions are grants.
func countGrants(ds []policy.Decision) int {
	n := 0
	for _, d := range ds {
		if _, ok := d.(policy.Grant); ok {
			n++
		}
	}
	return n
}

// sampleAnnouncement returns the announcement of target i.
func sampleAnnouncement(i int) engine.Announcement {
	return engine.Announcement{Target: engine.Target{
		Name: fmt.Sprintf("target-%d", i), Addr: fmt.Sprintf("10.1.%d.%d:80", i/250, 1+i%250), DataCentre: "centre-0",
		Pool: "pool-0", Kind: table.Engine, Memory: 400_000, Incarnation: 1,
	}}
}

// measureQuota measures the memory and the borrow time of quota accounts against the number
// of organisations.
func measureQuota(_ context.Context, r *report) error {
	var memory, lend []point
	for _, n := range []int{100, 1000, 5000, 21000} {
		before := heapInUse()
		now := time.Unix(0, 0)
		all := make(map[quota.Key]*quota.Account, n)
		keys := make([]quota.Key, n)
		for i := range n {
			keys[i] = quota.Key{Organisation: fmt.Sprintf("org-%d", i), Pool: "pool-0"}
			all[keys[i]] = quota.NewAccount(now, table.Limit{Requests: 100, Tokens: 1e6, Concurrent: 10}, now)
		}
		x := float64(n)
		memory = append(memory, point{x, heapInUse() - before})
		i := 0
		lend = append(lend, point{x, meanMicros(func() {
			i++
			now = now.Add(time.Millisecond)
			all[keys[i%n]].Borrow(now, quota.Borrow{Key: keys[i%n], From: quota.Borrower{Name: "entry"}, Requests: 1, Tokens: 1000})
		})})
	}
	r.printSeries("quota.memory", "bytes", "organisations", designOrganisations, memory)
	r.printSeries("quota.lend", "us", "organisations", designOrganisations, lend)
	return nil
}

// measureLedger measures the CPU time and the stored size of calls that must run at most
// once.
func measureLedger(ctx context.Context, r *report) error {
	var bytes, cost []point
	for _, n := range []int{100, 1000, 4000} {
		m := &ctrl.Machine{}
		s := &ctrl.Server{Tables: sampleTables(10), Machine: m, Replicated: &ctrl.MemoryLog{Machine: m, Addr: "control"}, Log: quietLogger()}
		pool := &wire.Pool{Self: "control", Local: &wire.Server{Methods: s.Methods()}}
		client := &ledger.Client{Control: &ctrl.Client{Seeds: []string{"control"}, Calls: pool}}
		self := sampleMember(0)
		if err := (&ctrl.Client{Seeds: []string{"control"}, Calls: pool}).Call(ctx, "ctrl.join", &ctrl.Join{Member: self}, &ctrl.VersionReply{}); err != nil {
			return err
		}
		began := cpuTime()
		for i := range n {
			c := ledger.Call{Organisation: "org", Key: fmt.Sprint(i), Attempt: fmt.Sprint(i), Entry: self.Name, Incarnation: 1}
			if _, err := client.Begin(ctx, c); err != nil {
				return err
			}
			if err := client.End(ctx, c, verd.Ran, &ledger.Response{Status: 200, Body: make([]byte, 200)}); err != nil {
				return err
			}
		}
		cost = append(cost, point{float64(n), float64((cpuTime() - began).Microseconds())})
		snap, err := m.Snapshot()
		if err != nil {
			return err
		}
		bytes = append(bytes, point{float64(n), float64(len(snap))})
	}
	r.printSeries("ledger.cpu", "us", "calls", 1, cost)
	r.printSeries("ledger.state", "bytes", "calls", 1, bytes)
	return nil
}
