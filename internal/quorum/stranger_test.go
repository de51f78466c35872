package quorum

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// TestStrangersSendMessages guards against senders that are no members and name a new ID and address with
// each message: a replica keeps so many of them, and goes on with its members.
func TestStrangersSendMessages(t *testing.T) {
	const strangers = 4 * maxSenders
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		defer g.close()
		lead := g.leader()
		n := g.replicas[lead].node
		for i := range strangers {
			b := &Batch{Addr: fmt.Sprintf("10.9.%d.%d:81", i/250, i%250), Messages: []Message{
				{From: ID(1000 + i), To: n.core.Status().ID, Body: VoteRequest{PreVote: true}},
				{From: ID(100_000 + i), To: 1, Body: VoteRequest{PreVote: true}},
			}}
			_, err := n.onStep(t.Context(), b)
			quicktest.Assert(t, err, quicktest.IsNil)
			synctest.Wait()
		}
		g.mustPropose(lead, "a")
		time.Sleep(time.Second)
		synctest.Wait()
		quicktest.Check(t, len(n.learnedAddrs) <= maxLearned, quicktest.IsTrue, quicktest.Commentf("%d addresses", len(n.learnedAddrs)))
		quicktest.Check(t, len(n.transport.senders) <= maxSenders, quicktest.IsTrue, quicktest.Commentf("%d senders", len(n.transport.senders)))
	})
}

// TestQueuedMessagesAreBounded guards against messages that come faster than a replica handles them, for
// example while its disk is slow. Those beyond the bound are lost; others are queued.
func TestQueuedMessagesAreBounded(t *testing.T) {
	q := eventQueue{wake: make(chan struct{}, 1)}
	batch := &Batch{Messages: []Message{{Body: Append{Entries: []Entry{{Data: make([]byte, maxBatchBytes)}}}}}}
	for range 10 * maxQueuedBytes / maxBatchBytes {
		q.push(stepEvent{batch: batch})
	}
	done := make(chan error, 1)
	q.push(readEvent{done: done})
	got := q.popAll()
	quicktest.Check(t, len(got) > 1 && len(got) <= maxQueuedBytes/maxBatchBytes+1, quicktest.IsTrue, quicktest.Commentf("%d events", len(got)))
	quicktest.Check(t, done, quicktest.HasLen, 0)
	large := &Batch{Messages: []Message{{Body: SnapshotChunk{Data: make([]byte, maxQueuedBytes+1)}}}}
	q.push(stepEvent{batch: large})
	quicktest.Check(t, q.popAll(), quicktest.HasLen, 1)
	q.close()
	q.push(readEvent{done: done})
	quicktest.Check(t, verd.From(<-done).Reason, quicktest.Equals, verd.Overloaded)
}
