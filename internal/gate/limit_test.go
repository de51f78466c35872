package gate

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
)

// TestLimitIsLogged: the log must show that a target names a limit, and once that it names none
// any more.
func TestLimitIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader, "Limit: 2.5\r\n")}, nil)
		count := func(text string) int { return strings.Count(s.logs.String(), text) }
		s.call(idempotentPath, "body")
		quicktest.Assert(t, count(`"limit":2.5,"limited":true`), quicktest.Equals, 1)
		s.targets[0].script = respond(200, "done", sealHeader)
		for range 2 {
			time.Sleep(time.Second)
			s.call(idempotentPath, "body")
		}
		quicktest.Assert(t, count("request limit of target changed"), quicktest.Equals, 2)
		quicktest.Assert(t, count(`"limited":false`), quicktest.Equals, 1)
	})
}

const limitHeader = "Limit: 2\r\n"

// TestLimitedServiceGetsItsShare: a service that names a limit must get no more than that, and
// the other one the rest, until a response to a later request names none any more.
func TestLimitedServiceGetsItsShare(t *testing.T) {
	for _, path := range []string{idempotentPath, nonIdempotentPath, serviceStreamPath, serviceOncePath} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				good := respond(200, "done", sealHeader)
				s := newPathTestbed(t, path, respond(200, "done", sealHeader, limitHeader), good)
				limited := s.targets[0]
				play := func() int {
					before := limited.requestCount()
					for range 200 {
						quicktest.Assert(t, s.call(path, "body").status, quicktest.Equals, 200)
						time.Sleep(50 * time.Millisecond)
					}
					return limited.requestCount() - before
				}
				s.callUntilReached(limited, path, 1)
				got := play()
				quicktest.Assert(t, got > 0 && got <= 2*10+1, quicktest.IsTrue, quicktest.Commentf("%d requests in 10 s", got))
				limited.script = good
				got = play()
				quicktest.Assert(t, got > 2*10+1, quicktest.IsTrue, quicktest.Commentf("%d requests in 10 s without a limit", got))
			})
		})
	}
}

// TestAllServicesLimited: when no service accepts a request soon, the caller must be refused at
// once, and be accepted at the time that it was told.
func TestAllServicesLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader, limitHeader)}, nil)
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 200)
		refused := 0
		for range 20 {
			res := s.call(idempotentPath, "body")
			if res.status == 200 {
				quicktest.Assert(t, res.took <= 150*time.Millisecond, quicktest.IsTrue)
				continue
			}
			refused++
			quicktest.Assert(t, res.status, quicktest.Equals, 503)
			quicktest.Assert(t, res.took, quicktest.Equals, time.Duration(0))
			wait, err := strconv.ParseFloat(res.header.Get("Retry-After"), 64)
			quicktest.Assert(t, err, quicktest.IsNil)
			time.Sleep(time.Duration(wait * float64(time.Second)))
			quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 200)
		}
		quicktest.Assert(t, refused > 0, quicktest.IsTrue)
	})
}

// TestLimitLearntFromLeader: a limit that another instance has learnt binds this one, too, but
// only the process that named it. A response to a request that was sent after that lifts it.
func TestLimitLearntFromLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
		// Its first turn is not right away.
		s.gate.health.drawPhase = func() float64 { return 0.5 }
		limit := place.Limit{Target: s.targets[0].ID, StartedMs: 7, PerSecond: 0, Named: true}
		s.gate.ApplyLimits([]place.Limit{limit})
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 200)
		limit.StartedMs = 0
		s.gate.ApplyLimits([]place.Limit{limit})
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 503)
		var m link.FollowerMessage
		s.gate.FillHandover(&m)
		quicktest.Assert(t, m.Limits, quicktest.DeepEquals, []place.Limit{limit})
		// A target that accepts nothing gets a request now and then.
		time.Sleep(10 * time.Second)
		for range 2 {
			quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 200)
		}
	})
}

// TestForeignResponseLiftsNoLimit: a response that is not the target's own, such as that of a proxy
// on the way, doesn't tell that the target names no limit any more.
func TestForeignResponseLiftsNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader, "Limit: 0.2\r\n")}, nil)
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 200)
		s.targets[0].script = writeText("HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(5 * time.Second)
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 502)
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 503)
	})
}
