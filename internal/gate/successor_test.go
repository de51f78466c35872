package gate

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// endPlay is a pause of this process while a target ends a response without a length.
type endPlay struct {
	pause time.Duration
	// relinked is after which time the news comes, and changed whether it has another process at the address.
	relinked time.Duration
	changed  bool
	whole    bool
}

// TestEndAfterPause guards against a response without a length that looks complete although its target crashed: this process
// stood still meanwhile, and another target listens at the address when it goes on. Without a pause nothing is waited for.
func TestEndAfterPause(t *testing.T) {
	for name, p := range map[string]endPlay{
		"no pause":                  {0, 0, false, true},
		"short pause":               {500 * time.Millisecond, 0, false, true},
		"another process":           {4 * time.Second, 50 * time.Millisecond, true, false},
		"the same process":          {4 * time.Second, 50 * time.Millisecond, false, true},
		"no news":                   {4 * time.Second, time.Hour, false, false},
		"another process, at once":  {4 * time.Second, time.Nanosecond, true, false},
		"another process, new view": {0, 0, true, false},
	} {
		for _, path := range allPaths() {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { p.run(t, path) })
			})
		}
	}
}

func (p endPlay) run(t *testing.T, path string) {
	paused := make(chan struct{})
	s := newPathTestbed(t, path, func(_ *fakeTarget, c net.Conn, q *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", q.Header.Get("Id"), streamHeaders, eventText(1, 3))
		<-paused
		return false
	})
	s.targets[0].StartedMs = 1
	for i := range s.tables.Routes {
		s.tables.Routes[i].Attempts = 1
	}
	s.tables.Version++
	s.publish(2)
	guard, suspended, linked := newGuard()
	s.gate.pauses.Clock, s.gate.pauses.Relink, s.gate.pauses.IsLinked = guard.Clock, guard.Relink, guard.IsLinked
	s.gate.pauses.start()
	news := func() {
		if p.changed {
			next := s.targets[0].Target
			next.ID, next.StartedMs = "next", 2
			s.targets = append(s.targets, &fakeTarget{Target: next})
			s.publish(3)
		}
		linked.Store(true)
	}
	time.AfterFunc(300*time.Millisecond, func() {
		suspended.Add(int64(p.pause))
		if p.relinked == 0 {
			news()
		} else {
			time.AfterFunc(p.relinked, news)
		}
		close(paused)
	})
	res := s.call(path, "prompt")
	whole := res.status == 200 && !res.truncated && res.body == eventText(1, 3)
	quicktest.Check(t, whole, quicktest.Equals, p.whole, quicktest.Commentf("%+v", res))
	if p.pause < maxPauseTime {
		quicktest.Check(t, res.took < 320*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", res.took))
	}
}
