package guard

import (
	"maps"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestPickIdlest: the connection that makes room has waited longest without a complete request. A request that may
// have been passed on never ends for it, unless its response goes unread.
func TestPickIdlest(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for _, c := range []struct {
		name  string
		conns map[string]connState
		want  string
	}{
		{"none", nil, ""},
		{"the one that waits longest", map[string]connState{
			"new": {since: ago(time.Second)}, "idle": {since: ago(5 * time.Second)}, "body": {phase: reading, since: ago(3 * time.Second)},
		}, "idle"},
		{"a stalled body", map[string]connState{"idle": {since: ago(time.Second)}, "body": {phase: reading, since: ago(3 * time.Second)}}, "body"},
		{"a request in progress stays", map[string]connState{"busy": {phase: busy, since: ago(time.Hour)}}, ""},
		{"a fresh connection stays", map[string]connState{"busy": {phase: busy}, "new": {since: ago(freshTime - 1)}}, ""},
		{"a response is written", map[string]connState{"busy": {phase: busy, blockedSince: ago(blockedTime - 1)}}, ""},
		{"a response goes unread", map[string]connState{
			"busy": {phase: busy, blockedSince: ago(blockedTime)}, "blocked": {phase: busy, blockedSince: ago(2 * blockedTime)},
		}, "blocked"},
		{"idle before unread", map[string]connState{
			"idle": {since: ago(freshTime)}, "blocked": {phase: busy, blockedSince: ago(2 * blockedTime)},
		}, "idle"},
	} {
		got, ok := pickIdlest(maps.All(c.conns), now)
		quicktest.Check(t, got, quicktest.Equals, c.want, quicktest.Commentf("%s", c.name))
		quicktest.Check(t, ok, quicktest.Equals, c.want != "", quicktest.Commentf("%s", c.name))
	}
}

// TestPickStalledHead: only a head that has memory and makes no progress gives it up.
func TestPickStalledHead(t *testing.T) {
	now := time.Unix(1000, 0)
	conns := map[string]connState{
		"small": {since: now.Add(-time.Hour)},
		"busy":  {phase: busy, since: now.Add(-time.Hour), headBytes: 1},
		"fresh": {since: now.Add(1 - stallTime), headBytes: 1},
	}
	_, ok := pickStalledHead(maps.All(conns), now)
	quicktest.Assert(t, ok, quicktest.IsFalse)
	conns["stalled"] = connState{since: now.Add(-stallTime), headBytes: 1}
	conns["older"] = connState{since: now.Add(-2 * stallTime), headBytes: 1}
	got, _ := pickStalledHead(maps.All(conns), now)
	quicktest.Assert(t, got, quicktest.Equals, "older")
}
