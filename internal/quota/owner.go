package quota

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// borrowMethod is the name of the RPC method with which entries borrow.
	borrowMethod = "quota.borrow"
	// sweepInterval is how often idle accounts are dropped.
	sweepInterval = 10 * time.Second
)

// Owner keeps the accounts that this instance owns.
type Owner struct {
	Self    string
	Members member.ViewSource

	mu       sync.Mutex
	accounts map[Key]*Account
	// viewVersion is the version of the view last checked for a change of owners.
	// ownersHash is the hash of the owners in it, ownersChanged the time when that last
	// changed.
	viewVersion   uint64
	ownersHash    uint64
	ownersChanged time.Time
}

// Methods returns the RPC methods that entries call.
func (o *Owner) Methods() []wire.Method {
	return []wire.Method{{Name: borrowMethod, New: func() any { return new(Borrow) }, Run: o.handleBorrow}}
}

// Run drops idle accounts until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	timing.Every(ctx, sweepInterval, func() { o.sweep(time.Now()) })
	return nil
}

// Accounts returns the number of accounts kept.
func (o *Owner) Accounts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.accounts)
}

func (o *Owner) handleBorrow(_ context.Context, in any) (any, error) {
	b, ok := in.(*Borrow)
	if !ok {
		return nil, verd.New(verd.NotRun, verd.BadRequest, "message is not a borrow request")
	}
	v := o.Members.View()
	if v == nil || !o.Members.Live() {
		return nil, verd.New(verd.NotRun, verd.Unavailable, "instance %s has no valid configuration lease", o.Self)
	}
	m, ok := OwnerOf(v, b.Key)
	if !ok || m.Name != o.Self {
		return nil, verd.New(verd.NotRun, verd.Unavailable, "instance %s does not own the account of organisation %s in pool %s",
			o.Self, b.Key.Organisation, b.Key.Pool)
	}
	p, ok := v.Tables.Pool(b.Key.Pool)
	if !ok {
		return nil, verd.New(verd.NotRun, verd.NoRoute, "unknown pool %q", b.Key.Pool)
	}
	now := time.Now()
	limit := p.LimitFor(b.Key.Organisation)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateOwnership(now, v)
	a := o.accounts[b.Key]
	if a == nil {
		a = NewAccount(now, limit, o.ownersChanged.Add(loanTTL+loanGrace))
		o.accounts[b.Key] = a
	}
	a.SetLimit(now, limit)
	loan := a.Borrow(now, *b)
	return &loan, nil
}

// updateOwnership drops the accounts that this instance no longer owns, if the set of
// owners has changed. Their new owner assumes that the loans are outstanding until they
// expire.
func (o *Owner) updateOwnership(now time.Time, v *member.View) {
	if o.accounts == nil {
		o.accounts = make(map[Key]*Account)
	}
	if v.Version == o.viewVersion {
		return
	}
	o.viewVersion = v.Version
	owners := hashOwners(v)
	if owners == o.ownersHash {
		return
	}
	o.ownersHash, o.ownersChanged = owners, now
	for k := range o.accounts {
		if m, ok := OwnerOf(v, k); !ok || m.Name != o.Self {
			delete(o.accounts, k)
		}
	}
}

// sweep drops idle accounts.
func (o *Owner) sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, a := range o.accounts {
		if a.Idle(now) {
			delete(o.accounts, k)
		}
	}
}

// OwnerOf returns the instance that owns an account: of those in service, the one with
// the highest hash, so that the loss of an instance moves only its own accounts.
func OwnerOf(v *member.View, k Key) (*member.Member, bool) {
	var best *member.Member
	var bestHash uint64
	for i := range v.Members {
		m := &v.Members[i]
		if m.State != member.Serving {
			continue
		}
		if h := xxhash.Sum64String(m.Name + "\x00" + k.Organisation + "\x00" + k.Pool); best == nil || h > bestHash {
			best, bestHash = m, h
		}
	}
	return best, best != nil
}

// hashOwners returns a hash of the processes that can own accounts.
func hashOwners(v *member.View) uint64 {
	d := xxhash.New()
	var b [8]byte
	for _, m := range v.Members {
		if m.State != member.Serving {
			continue
		}
		_, _ = d.WriteString(m.Name) // Never fails.
		for i := range b {
			b[i] = byte(m.Incarnation >> (8 * i))
		}
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}
