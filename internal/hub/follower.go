package hub

import (
	"math"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/reg"
)

// follower is a control instance that follows the leader: it passes on what it
// hears, and learns which instances are ready. Its registry comes by the log.
type follower struct{ s *Server }

var _ link.Follower = (*follower)(nil)

// Have is beyond all revisions, as no news of the registry are wanted.
func (*follower) Have() uint64 { return math.MaxUint64 }

// Update takes in nothing.
func (*follower) Update(*reg.Update) {}

// Granted takes in nothing: control instances have no requests.
func (*follower) Granted(place.Grant) {}

// Refused takes in nothing.
func (*follower) Refused(place.Refuse) {}

// Waiting takes in nothing.
func (*follower) Waiting(string) {}

// Holdings returns nothing.
func (*follower) Holdings() []place.Holding { return nil }

// Listed takes in the ready instances.
func (f *follower) Listed(entries []link.Entry) { f.s.dir.set(entries) }

// Counted takes in nothing.
func (*follower) Counted(int) {}

// Lost takes in nothing.
func (*follower) Lost() {}

// Pulse passes on the targets that were heard and the instances linked here.
func (f *follower) Pulse(u *link.Up) {
	u.Entries, u.Listed = f.s.linked(), true
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	for id := range f.s.heard {
		u.Heard = append(u.Heard, id)
	}
	clear(f.s.heard)
}
