package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// call returns an attempt at the call with the organisation and the key.
func call(org, key, attempt string) *Call {
	return &Call{Organisation: org, Key: key, Attempt: attempt, Entry: "e-" + attempt, Incarnation: 1}
}

// TestKeysAreScopedByOrganisation checks that two organisations can use the same key, and
// that within one a key is refused to a second attempt and to a different request.
func TestKeysAreScopedByOrganisation(t *testing.T) {
	var b Records
	quicktest.Check(t, b.Begin(call("levain", "k", "a"), 0).State, quicktest.Equals, Acquired)
	quicktest.Check(t, b.Begin(call("codrescu", "k", "b"), 0).State, quicktest.Equals, Acquired)
	quicktest.Check(t, b.Begin(call("levain", "k", "c"), 0).State, quicktest.Equals, InProgress)
	quicktest.Check(t, b.Begin(call("levain", "k", "a"), 0).State, quicktest.Equals, Acquired)
	other := call("levain", "k", "d")
	other.Digest[0] = 1
	quicktest.Check(t, b.Begin(other, 0).State, quicktest.Equals, KeyReused)
}

// TestStoredAnswerIsTruncated checks that a response larger than MaxBodyBytes is truncated and
// marked as such, so that it isn't replayed as if it were complete.
func TestStoredAnswerIsTruncated(t *testing.T) {
	var b Records
	c := call("o", "k", "a")
	b.Begin(c, 0)
	quicktest.Check(t, b.End(c, verd.Ran, &Response{Status: 200, Body: make([]byte, MaxBodyBytes+1)}, 0), quicktest.IsTrue)
	got := b.Begin(call("o", "k", "b"), 0)
	quicktest.Check(t, got.State, quicktest.Equals, Completed)
	quicktest.Check(t, got.Verdict, quicktest.Equals, verd.Ran)
	quicktest.Check(t, got.Response.Truncated, quicktest.IsTrue)
	quicktest.Check(t, got.Response.Body, quicktest.HasLen, MaxBodyBytes)
}

// TestReleasedAttemptNeverAcquiresKey guards against a released attempt that runs after
// all because its messages arrive twice or out of order. The key stays free for others.
func TestReleasedAttemptNeverAcquiresKey(t *testing.T) {
	var b Records
	a := call("o", "k", "a")
	b.Begin(a, 0)
	quicktest.Check(t, b.End(a, verd.NotRun, nil, 0), quicktest.IsTrue)
	quicktest.Check(t, b.End(a, verd.NotRun, nil, 0), quicktest.IsTrue)
	again := b.Begin(a, 0)
	quicktest.Check(t, again.State, quicktest.Equals, Completed)
	quicktest.Check(t, again.Verdict, quicktest.Equals, verd.NotRun)
	early := call("o", "k", "b")
	quicktest.Check(t, b.End(early, verd.NotRun, nil, 0), quicktest.IsTrue)
	quicktest.Check(t, b.Begin(early, 0).State, quicktest.Equals, Completed)
	quicktest.Check(t, b.Begin(call("o", "k", "c"), 0).State, quicktest.Equals, Acquired)
	quicktest.Check(t, b.End(call("o", "k", "d"), verd.Ran, nil, 0), quicktest.IsFalse)
}

// TestLostCallAcceptsLateOutcome checks that a process that was considered failed by mistake
// can still record the outcome of its call.
func TestLostCallAcceptsLateOutcome(t *testing.T) {
	var b Records
	a := call("o", "k", "a")
	b.Begin(a, 0)
	b.MarkLost(member.Process{Name: a.Entry, Incarnation: 1}, 0)
	quicktest.Check(t, b.Begin(call("o", "k", "b"), 0), quicktest.Equals, CallStatus{State: Orphaned, Verdict: verd.MayHaveRun})
	quicktest.Check(t, b.Begin(a, 0).State, quicktest.Equals, Orphaned)
	quicktest.Check(t, b.End(a, verd.Ran, nil, 0), quicktest.IsTrue)
	quicktest.Check(t, b.Begin(call("o", "k", "b"), 0), quicktest.Equals, CallStatus{State: Completed, Verdict: verd.Ran})
}

// TestRetention checks that ended records are kept for the retention time, that those in
// progress are kept forever, and that nothing else is left, also after a restore.
func TestRetention(t *testing.T) {
	const retention = time.Hour
	rapid.Check(t, func(t *rapid.T) {
		b := &Records{Retention: retention}
		ends := make(map[string]time.Duration)
		var now time.Duration
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(retention/4)).Draw(t, "pause"))
			c := call("o", fmt.Sprint("k", i), "a")
			b.Begin(c, now)
			if rapid.Bool().Draw(t, "end") {
				b.End(c, verd.Ran, nil, now)
				ends[c.Key] = now
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				restored := &Records{Retention: retention}
				restored.Restore(b.Snapshot())
				b = restored
			}
			for k := range i {
				key := fmt.Sprint("k", k)
				_, found := b.Lookup(call("o", key, "a"))
				end, ended := ends[key]
				if want := !ended || now < end+retention; found != want {
					t.Fatalf("key %s (ended: %v, at %v): found %v at %v, want %v", key, ended, end, found, now, want)
				}
			}
		}
		b.Begin(call("o", "last", "a"), now+retention)
		if open := b.Len() - 1; open > 40-len(ends) {
			t.Fatalf("%d records are left, want at most %d", open, 40-len(ends))
		}
	})
}
