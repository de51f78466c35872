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
	// borrowMethod is the call by which entries borrow.
	borrowMethod = "quota.borrow"
	// sweepEvery is how often quiet accounts are dropped.
	sweepEvery = 10 * time.Second
)

// Owner keeps the accounts that this instance owns.
type Owner struct {
	Self    string
	Members member.Source

	mu       sync.Mutex
	accounts map[Key]*Account
	// version is that of the view by which ownership was last judged, and
	// moved is when the set of owners last changed.
	version uint64
	owners  uint64
	moved   time.Time
}

// Methods returns the calls that entries make.
func (o *Owner) Methods() []wire.Method {
	return []wire.Method{{Name: borrowMethod, New: func() any { return new(Borrow) }, Run: o.borrow}}
}

// Run drops quiet accounts until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	timing.Every(ctx, sweepEvery, func() { o.sweep(time.Now()) })
	return nil
}

// Accounts returns the number of accounts that are not quiet.
func (o *Owner) Accounts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.accounts)
}

func (o *Owner) borrow(_ context.Context, in any) (any, error) {
	b, ok := in.(*Borrow)
	if !ok {
		return nil, verd.New(verd.NotRun, verd.BadRequest, "not a loan")
	}
	v := o.Members.View()
	if v == nil || !o.Members.Live() {
		return nil, verd.New(verd.NotRun, verd.Unavailable, "instance %s is cut off from control", o.Self)
	}
	m, ok := OwnerOf(v, b.Key)
	if !ok || m.Name != o.Self {
		return nil, verd.New(verd.NotRun, verd.Unavailable, "instance %s does not own the account", o.Self)
	}
	p, ok := v.Tables.Pool(b.Key.Pool)
	if !ok {
		return nil, verd.New(verd.NotRun, verd.NoRoute, "unknown pool %q", b.Key.Pool)
	}
	now := time.Now()
	limit := p.LimitFor(b.Key.Organisation)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.follow(now, v)
	a := o.accounts[b.Key]
	if a == nil {
		a = NewAccount(now, limit, o.moved.Add(LoanTime+drift))
		o.accounts[b.Key] = a
	}
	a.SetLimit(now, limit)
	loan := a.Borrow(now, *b)
	return &loan, nil
}

// follow notes when owners have changed and forgets the accounts that are
// no longer this instance's: their loans are the new owner's matter.
func (o *Owner) follow(now time.Time, v *member.View) {
	if o.accounts == nil {
		o.accounts = make(map[Key]*Account)
	}
	if v.Version == o.version {
		return
	}
	o.version = v.Version
	owners := fingerprint(v)
	if owners == o.owners {
		return
	}
	o.owners, o.moved = owners, now
	for k := range o.accounts {
		if m, ok := OwnerOf(v, k); !ok || m.Name != o.Self {
			delete(o.accounts, k)
		}
	}
}

func (o *Owner) sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, a := range o.accounts {
		if a.Quiet(now) {
			delete(o.accounts, k)
		}
	}
}

// OwnerOf returns the serving instance that owns an account: the one with
// the highest hash, so that one instance's loss moves only its accounts.
func OwnerOf(v *member.View, k Key) (*member.Member, bool) {
	var best *member.Member
	var top uint64
	for i := range v.Members {
		m := &v.Members[i]
		if m.State != member.Serving {
			continue
		}
		if h := xxhash.Sum64String(m.Name + "\x00" + k.Organisation + "\x00" + k.Pool); best == nil || h > top {
			best, top = m, h
		}
	}
	return best, best != nil
}

// fingerprint changes when the processes that may own accounts change.
func fingerprint(v *member.View) uint64 {
	d := xxhash.New()
	var b [8]byte
	for _, m := range v.Members {
		if m.State != member.Serving {
			continue
		}
		_, _ = d.WriteString(m.Name) // A hash never fails.
		for i := range b {
			b[i] = byte(m.Incarnation >> (8 * i))
		}
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}
