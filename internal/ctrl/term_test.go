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

// noLeaseLog is a log whose leader has no lease between from and until.
type noLeaseLog struct {
	quorum.ReplicatedLog
	from, until time.Time
}

// Barrier waits for the lease as a replica does. Its error does not wrap the context's,
// as after a call over the network.
func (l *noLeaseLog) Barrier(ctx context.Context) error {
	if now := time.Now(); now.After(l.from) && now.Before(l.until) {
		<-ctx.Done()
		return verd.New(verd.NotRun, verd.Timeout, "the leader has no lease")
	}
	return l.ReplicatedLog.Barrier(ctx)
}

// TestLeaseLostAfterChangeAccepted guards against the verdict NotRun for a change that
// was accepted. The leader loses its lease before the change is in force.
func TestLeaseLostAfterChangeAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		from := time.Now().Add(2 * time.Second)
		s.server.Replicated = &noLeaseLog{ReplicatedLog: s.log, from: from, until: from.Add(time.Minute)}
		s.startMember(1, "dakar-a")
		time.Sleep(2 * time.Second)
		out, _ := s.apply(Change{ID: "x", BaseRevision: 1, Tables: tables("c")})
		nextVersion := out.Version + 1
		e := verd.From(s.server.waitInForce(t.Context(), nextVersion))
		quicktest.Check(t, e.Verdict, quicktest.Equals, verd.MayHaveRun)
		quicktest.Check(t, e.Reason, quicktest.Equals, verd.Unavailable)
		s.close()
	})
}
