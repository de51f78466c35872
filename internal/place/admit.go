package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// admitWindow is the time constant of the sums over requests by organisation and kind: a few
	// seconds, as long as bursts last.
	admitWindow = 3 * time.Second
	// minServed is the fraction of the service of all requests below which a kind or an
	// organisation doesn't yield; callers need a quarter. minLargeServed is that of the largest
	// requests of a kind, relative to the kind, of which they need half.
	minServed, minLargeServed = 0.4, 0.7
	// minPart is the part of all requests from which an organisation is protected so.
	minPart = 0.04
	// largeSize is the size relative to the mean of its kind from which a request counts as one
	// of the largest, about a tenth of all.
	largeSize = 1.7
)

// admission orders requests while more is wanted than the engines can do: those of organisations
// above their fair share come last, and among the others those first that have the most value per
// engine time. What is refused is what is still queued when it can't be on time any more. It must
// see all requests of the pool.
type admission struct {
	all           flow
	organisations map[string]*flow
	kinds         map[kind]*flow
	// share is the most work, in engine seconds, that an organisation may have been granted
	// within admitWindow to come before the others.
	share float64
}

// kind is a class of requests, with its largest ones apart.
type kind struct {
	target time.Duration
	large  bool
}

// flow holds decaying sums over requests: their number and work, and those of the granted ones.
// Work is in engine seconds.
type flow struct {
	wanted, granted, wantedWork, grantedWork float64
	at                                       time.Time
}

// decay ages the sums to now.
func (f *flow) decay(now time.Time) {
	if !f.at.IsZero() {
		k := math.Exp(-now.Sub(f.at).Seconds() / admitWindow.Seconds())
		f.wanted, f.granted, f.wantedWork, f.grantedWork = f.wanted*k, f.granted*k, f.wantedWork*k, f.grantedWork*k
	}
	f.at = now
}

func (f *flow) want(now time.Time, work float64) {
	f.decay(now)
	f.wanted++
	f.wantedWork += work
}

func (f *flow) grant(now time.Time, work float64) {
	f.decay(now)
	f.granted++
	f.grantedWork += work
}

// served returns the part of the requests that were granted; 1 without requests.
func (f *flow) served() float64 {
	if f.wanted <= 0 {
		return 1
	}
	return f.granted / f.wanted
}

// lookUp returns the flow of a key, which it adds if it is missing.
func lookUp[K comparable](m *map[K]*flow, key K) *flow {
	if *m == nil {
		*m = make(map[K]*flow)
	}
	f := (*m)[key]
	if f == nil {
		f = &flow{}
		(*m)[key] = f
	}
	return f
}

// want counts a new request.
func (a *admission) want(now time.Time, j *job) {
	a.all.want(now, j.work)
	lookUp(&a.organisations, j.request.Organisation).want(now, j.work)
	lookUp(&a.kinds, j.kind()).want(now, j.work)
}

// grant counts a granted request.
func (a *admission) grant(now time.Time, j *job) {
	a.all.grant(now, j.work)
	lookUp(&a.organisations, j.request.Organisation).grant(now, j.work)
	lookUp(&a.kinds, j.kind()).grant(now, j.work)
}

// kind returns the kind of a request.
func (j *job) kind() kind { return kind{j.request.TTFTTarget, j.large} }

// excess returns the work wanted relative to what that many engines can do.
func (a *admission) excess(now time.Time, engines float64) float64 {
	a.all.decay(now)
	// What arrived decays with admitWindow, so a sum of work is a rate times that.
	return a.all.wantedWork / max(engines*admitWindow.Seconds(), 1e-9)
}

// update computes the fair share of an organisation.
func (a *admission) update(now time.Time) {
	a.all.decay(now)
	a.share = fairShare(now, a.organisations, a.all.grantedWork)
}

// fairShare returns the share up to which each organisation gets what it wants, so that
// all together get what there is room for. It drops organisations that want nothing any more.
func fairShare(now time.Time, organisations map[string]*flow, room float64) float64 {
	wants := make([]float64, 0, len(organisations))
	for name, f := range organisations {
		if f.decay(now); f.wanted < 0.01 {
			delete(organisations, name)
			continue
		}
		wants = append(wants, f.wantedWork)
	}
	slices.Sort(wants)
	for i, w := range wants {
		equal := room / float64(len(wants)-i)
		if w > equal {
			return equal
		}
		room -= w
	}
	return math.Inf(1)
}

// precedence returns the place of a request in the queue, the highest first.
func (a *admission) precedence(now time.Time, j *job) precedence {
	o := lookUp(&a.organisations, j.request.Organisation)
	o.decay(now)
	p := precedence{density: j.value / j.work}
	switch {
	case len(a.organisations) > 1 && o.grantedWork > a.share:
		p.class = aboveShare
	case a.isProtected(now, j, o):
		p.class = underserved
	}
	return p
}

// precedence orders requests while more is wanted than the engines can do. The zero value
// stands for all other times.
type precedence struct {
	class   int
	density float64
}

// Values of precedence.class.
const (
	aboveShare  = -1
	underserved = 1
)

// compare returns a negative number if p comes before o.
func (p precedence) compare(o precedence) int {
	return cmp.Or(cmp.Compare(o.class, p.class), cmp.Compare(o.density, p.density))
}

// isProtected reports whether a request belongs to a kind, an organisation or the largest of a
// kind which are served too seldom already.
func (a *admission) isProtected(now time.Time, j *job, o *flow) bool {
	a.all.decay(now)
	least := minServed * a.all.served()
	if o.wanted >= minPart*a.all.wanted && o.served() < least {
		return true
	}
	small, large := lookUp(&a.kinds, kind{target: j.request.TTFTTarget}), lookUp(&a.kinds, kind{j.request.TTFTTarget, true})
	small.decay(now)
	large.decay(now)
	if (small.granted+large.granted)/max(1e-9, small.wanted+large.wanted) < least {
		return true
	}
	return j.large && large.served() < minLargeServed*small.served()
}
