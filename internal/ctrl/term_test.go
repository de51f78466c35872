package ctrl

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// leaseless is a log whose leader has no lease between two times.
type leaseless struct {
	quorum.Log
	from, until time.Time
}

// Barrier waits for the lease, as a replica does, and says so in words that
// lost their cause on the way.
func (l *leaseless) Barrier(ctx context.Context) error {
	if now := time.Now(); now.After(l.from) && now.Before(l.until) {
		<-ctx.Done()
		return verd.New(verd.NotRun, verd.Timeout, "the leader has no lease")
	}
	return l.Log.Barrier(ctx)
}

// TestLeaseLostAfterAccepted takes the leader's lease away while a change that
// was accepted is not yet in force: nobody is told that it was not made.
func TestLeaseLostAfterAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		from := time.Now().Add(2 * time.Second)
		s.server.Log = &leaseless{Log: s.log, from: from, until: from.Add(time.Minute)}
		s.member(1, "dakar-a")
		time.Sleep(2 * time.Second)
		out, _ := s.apply(Change{ID: "x", Base: 1, Tables: tables("c")})
		later := out.Version + 1
		e := verd.From(s.server.waitInForce(t.Context(), later))
		quicktest.Check(t, e.Verdict, quicktest.Equals, verd.MayHaveRun)
		quicktest.Check(t, e.Reason, quicktest.Equals, verd.Unavailable)
		s.close()
	})
}
