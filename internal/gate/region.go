package gate

import (
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// regionLimit is the limit of a request to regions.
type regionLimit struct {
	// allowed are the regions to which the request is bound; empty means all regions.
	allowed []string
	// impossible is set if the route and the organisation allow no region in common.
	impossible bool
}

// bind adds the regions to which a route or an organisation binds the request.
func (l *regionLimit) bind(regions []string) {
	common, ok := site.CommonRegions(l.allowed, regions)
	l.allowed, l.impossible = common, l.impossible || !ok
}

// isBound reports whether the request is bound to regions.
func (x *exchange) isBound() bool {
	return len(x.server.Regions) > 0 && (x.regions.impossible || len(x.regions.allowed) > 0)
}

// allows reports whether the request may be sent to a data centre.
func (x *exchange) allows(dataCentre string) bool {
	return !x.isBound() || !x.regions.impossible && x.server.Regions.Allows(x.regions.allowed, dataCentre)
}

// allowsRelay reports whether the request may pass through an instance in a data centre: besides
// the allowed regions, it may in the one to which the caller has sent it.
func (x *exchange) allowsRelay(dataCentre string) bool {
	return x.allows(dataCentre) || x.server.Regions.Same(dataCentre, x.server.DataCentre)
}

// checkRegions refuses a request if no target of its pool is ready in an allowed region. It returns
// false if it has responded.
func (x *exchange) checkRegions() bool {
	if !x.isBound() {
		return true
	}
	for _, t := range x.server.views.load().pools[x.pool.Name] {
		if x.allows(t.DataCentre) {
			return true
		}
	}
	metrics.GetOrRegisterCounter("gate.region_refusals", x.server.Metrics).Inc(1)
	x.respondUnavailable("no target is ready in an allowed region", longRetryAfter)
	return false
}
