package link

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/poison"
	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// nobody is a Follower that ignores everything.
type nobody struct{}

func (nobody) Revision() uint64                      { return 0 }
func (nobody) ApplyUpdate(*reg.Delta)                {}
func (nobody) HandleGrant(place.Grant)               {}
func (nobody) HandleRefusal(place.Refuse)            {}
func (nobody) HandleQueued(string)                   {}
func (nobody) ActiveGrants() []place.ActiveGrant     { return nil }
func (nobody) ApplyBlocks([]poison.Block)            {}
func (nobody) ApplyLimits([]place.Limit)             {}
func (nobody) ApplyCold([]place.Cold)                {}
func (nobody) ApplyLoads([]place.PoolLoad)           {}
func (nobody) UnreportedGrants() []place.ActiveGrant { return nil }
func (nobody) ApplyEvacuations(reg.Evacuations)      {}
func (nobody) FillHandover(*FollowerMessage)         {}
func (nobody) SetEntries([]Entry)                    {}
func (nobody) SetRelays([]Entry)                     {}
func (nobody) SetSpreads([]Spread)                   {}
func (nobody) SetEntryCount(int)                     {}
func (nobody) HandleLinkLost()                       {}
func (nobody) HandleConfirmed()                      {}
func (nobody) FillHeartbeat(*FollowerMessage)        {}

// controls are control instances that answer as the test says.
type controls struct {
	t   *testing.T
	net memnet.Network
	// welcome returns what an instance answers.
	welcome func(i int) Welcome
	// changed is closed when the leader changes, which closes the links to it.
	changed chan struct{}
	leader  int
	// wasLinked is set if there was a link to the leader when it began to lead.
	wasLinked atomic.Bool
}

func controlAddr(i int) string { return fmt.Sprintf("10.0.0.%d:7", i+1) }

// start starts n instances.
func (c *controls) start(ctx context.Context, n int) {
	for i := range n {
		s := &wire.Server{Streams: []wire.StreamMethod{{Name: Method, Run: func(ctx context.Context, st *wire.Stream) error {
			return c.serve(ctx, st, i, n)
		}}}}
		ln, err := c.net.Listen(controlAddr(i))
		quicktest.Assert(c.t, err, quicktest.IsNil)
		go func() { _ = s.Serve(ctx, ln) }()
	}
}

// serve serves a link to instance i of n.
func (c *controls) serve(ctx context.Context, st *wire.Stream, i, n int) error {
	var first FollowerMessage
	if err := st.Receive(&first); err != nil {
		return err
	}
	w := c.welcome(i)
	for k := range n {
		w.ControlAddrs = append(w.ControlAddrs, controlAddr(k))
	}
	w.Voters = w.ControlAddrs
	if err := st.Send(&ControlMessage{Welcome: &w}); err != nil {
		return err
	}
	s := NewSession[FollowerMessage, ControlMessage](st)
	s.OnMessage = func(context.Context, *FollowerMessage) error { return nil }
	if i == c.leader && !w.IsLeader {
		go c.closeOnChange(ctx, st)
	}
	_ = s.Run(ctx)
	return nil
}

// closeOnChange closes a link when its instance begins to lead.
func (c *controls) closeOnChange(ctx context.Context, st *wire.Stream) {
	select {
	case <-c.changed:
		c.wasLinked.Store(true)
		st.Close()
	case <-ctx.Done():
	}
}

// linkTime returns how long after the change of leaders a client is linked to the leader.
func (c *controls) linkTime(n int, name string, changeAfter time.Duration) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	defer func() { cancel(); time.Sleep(3 * time.Second) }()
	c.changed = make(chan struct{})
	c.start(ctx, n)
	calls := &wire.Pool{Dial: c.net.Dialer("10.0.1.1:7")}
	defer calls.Close()
	client := &Client{Self: Hello{Name: name, PeerAddr: "10.0.1.1:7"}, Calls: calls, Follower: nobody{}, Log: &log.Logger{Level: log.PanicLevel}}
	var seeds []string
	for i := range n {
		seeds = append(seeds, controlAddr(i))
	}
	client.SetSeeds(seeds)
	go func() { _ = client.Run(ctx) }()
	time.Sleep(changeAfter)
	close(c.changed)
	began := time.Now()
	for !client.IsLinkedToLeader() && time.Since(began) < 10*time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// isClosed reports whether the channel is closed.
func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// changeTimes is how many times of the change of leaders are played.
const changeTimes = 40

// TestNewLeaderIsTriedFirst: a control instance that begins to lead closes its links. An entry that was
// linked to it must come back at once, and not try two others first that are cut off from it.
func TestNewLeaderIsTriedFirst(t *testing.T) {
	linked := 0
	for k := range changeTimes {
		synctest.Test(t, func(t *testing.T) {
			c := &controls{t: t, leader: 2}
			c.welcome = func(i int) Welcome { return Welcome{IsLeader: i == c.leader && isClosed(c.changed), Term: 2} }
			took := c.linkTime(3, "e", time.Duration(500+50*k)*time.Millisecond)
			if !c.wasLinked.Load() {
				return
			}
			linked++
			quicktest.Check(t, took <= 200*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("change %d: %s", k, took))
		})
	}
	quicktest.Check(t, linked >= changeTimes/8, quicktest.IsTrue, quicktest.Commentf("linked to the next leader in %d of %d", linked, changeTimes))
}

// TestOutdatedLeaderIsNotTried: of two control instances that are cut off, one has lost its leadership
// and the other still names it. An entry must not go back and forth between them while a third leads.
func TestOutdatedLeaderIsNotTried(t *testing.T) {
	for k := range changeTimes {
		synctest.Test(t, func(t *testing.T) {
			c := &controls{t: t, leader: 2}
			c.welcome = func(i int) Welcome {
				return [...]Welcome{{Term: 2}, {Term: 2, LeaderAddr: controlAddr(0)}, {IsLeader: isClosed(c.changed), Term: 3}}[i]
			}
			took := c.linkTime(3, "e", time.Duration(500+50*k)*time.Millisecond)
			quicktest.Check(t, took <= time.Second, quicktest.IsTrue, quicktest.Commentf("change %d: %s", k, took))
		})
	}
}

// TestTwoInstancesCutOff: two control instances that know no leader must not keep an entry from a third
// one, which leads, for longer than it takes until tables must be in force everywhere.
func TestTwoInstancesCutOff(t *testing.T) {
	const inForce = 2 * time.Second
	for k := range changeTimes {
		synctest.Test(t, func(t *testing.T) {
			c := &controls{t: t, leader: 2}
			c.welcome = func(i int) Welcome { return Welcome{IsLeader: i == c.leader && isClosed(c.changed), Term: 2} }
			took := c.linkTime(3, "e", time.Duration(500+50*k)*time.Millisecond)
			quicktest.Check(t, took <= inForce-HeartbeatInterval, quicktest.IsTrue, quicktest.Commentf("change %d: %s", k, took))
		})
	}
}

// TestNewTermIsNotOutdated: an instance that has answered that it doesn't lead may be elected in a
// later term, and must be tried once another one names it, also by a build that tells no terms.
func TestNewTermIsNotOutdated(t *testing.T) {
	var c Client
	c.noteLeading("a", &Welcome{Term: 2})
	for term, want := range map[uint64]bool{0: false, 1: true, 2: true, 3: false} {
		quicktest.Check(t, c.isOutdated(&Welcome{LeaderAddr: "a", Term: term}), quicktest.Equals, want, quicktest.Commentf("%d", term))
	}
	c.noteLeading("a", &Welcome{IsLeader: true})
	quicktest.Check(t, c.isOutdated(&Welcome{LeaderAddr: "a", Term: 2}), quicktest.IsFalse)
}
