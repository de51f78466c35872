package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/relay"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// newRegionTestbed returns a testbed with three regions: the instance and every third target from
// the first on are in us, the next ones in eu, and those after them in asia.
func newRegionTestbed(t *testing.T, plain, engines []script) *testbed {
	t.Helper()
	s := newTestbed(t, plain, engines)
	s.gate.Regions = site.Regions{"dc": "us", "dc-eu": "eu", "dc-asia": "asia"}
	for _, c := range s.gate.placer.localCores {
		c.Regions = s.gate.Regions
	}
	for i, f := range s.targets {
		f.DataCentre = []string{"dc", "dc-eu", "dc-asia"}[i%3]
	}
	return s
}

// bind publishes tables that bind the routes and the organisation.
func (s *testbed) bind(route, organisation []string) {
	for i := range s.tables.Routes {
		s.tables.Routes[i].Regions = route
	}
	s.tables.Organisations[0].Regions = organisation
	s.tables.Version++
	s.publish(uint64(s.tables.Version) * 10)
}

// requestsOutside returns how many requests reached targets outside of a data centre.
func (s *testbed) requestsOutside(dataCentre string) int {
	n := 0
	for _, f := range s.targets {
		if f.DataCentre != dataCentre {
			n += f.requestCount()
		}
	}
	return n
}

// TestRegionsBindServices guards against requests of plain services that leave their regions, also
// when they are retried and the only other targets are elsewhere.
func TestRegionsBindServices(t *testing.T) {
	good, full := respond(200, "done", sealHeader), respond(503, "", notRunHeader)
	for name, c := range map[string]struct {
		route, organisation []string
		status              int
		// requests is how many sends each of ten requests takes.
		requests int
	}{
		"route":                 {[]string{"eu"}, nil, 200, 2},
		"organisation":          {nil, []string{"eu"}, 200, 2},
		"both":                  {[]string{"eu", "asia"}, []string{"us", "eu"}, 200, 2},
		"no common region":      {[]string{"eu"}, []string{"asia"}, 503, 0},
		"region without target": {[]string{"africa"}, nil, 503, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRegionTestbed(t, []script{good, full, good, good, good, good}, nil)
				s.bind(c.route, c.organisation)
				for range 10 {
					// The target that is full is tried first.
					done := s.gate.health.track("t4")
					res := s.call(idempotentPath, "body")
					done()
					quicktest.Assert(t, res.status, quicktest.Equals, c.status, quicktest.Commentf("%s", res.body))
					if c.status == 503 {
						quicktest.Assert(t, res.header.Get("Retry-After"), quicktest.Equals, "1")
						quicktest.Assert(t, res.took < 10*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("%s", res.took))
					}
					time.Sleep(maxEjection)
				}
				quicktest.Assert(t, s.requestsOutside("dc-eu"), quicktest.Equals, 0)
				quicktest.Assert(t, s.requestCount(), quicktest.Equals, 10*c.requests)
			})
		})
	}
}

// TestPublicRouteIsNotBoundByOrganisations: a request on a public route belongs to no organisation,
// so that only the limit of the route binds it.
func TestPublicRouteIsNotBoundByOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
		s.bind(nil, []string{"eu"})
		quicktest.Assert(t, s.call(publicPath, "body").status, quicktest.Equals, 200)
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 503)
	})
}

// TestNoRegionsInSettings: an instance without regions in its settings treats all data centres as
// one region, in which no limit applies.
func TestNoRegionsInSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionTestbed(t, []script{respond(200, "done", sealHeader)}, []script{streamEvents(2, 0)})
		s.gate.Regions = nil
		for _, c := range s.gate.placer.localCores {
			c.Regions = nil
		}
		s.bind([]string{"eu"}, []string{"asia"})
		quicktest.Assert(t, s.call(idempotentPath, "body").status, quicktest.Equals, 200)
		quicktest.Assert(t, s.call(resumableStreamPath, "prompt").body, quicktest.Equals, eventText(1, 2))
	})
}

// TestRegionsBindStreams guards against streams that leave their regions, also when they are
// resumed at another engine. No scheduler answers, so that the instance places them itself.
func TestRegionsBindStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s *testbed
		cutFirst := func(f *fakeTarget, c net.Conn, q *http.Request) bool {
			if q.Header.Get("Last") == "" {
				return streamEvents(9, 4)(f, c, q)
			}
			return streamEvents(9, 0)(f, c, q)
		}
		s = newRegionTestbed(t, nil, []script{cutFirst, cutFirst, cutFirst, cutFirst, cutFirst, cutFirst})
		s.bind([]string{"eu"}, nil)
		for range 3 {
			res := s.call(resumableStreamPath, "prompt")
			quicktest.Assert(t, res.body, quicktest.Equals, eventText(1, 9))
			quicktest.Assert(t, res.truncated, quicktest.IsFalse)
			time.Sleep(20 * time.Second)
		}
		quicktest.Assert(t, s.requestsOutside("dc-eu"), quicktest.Equals, 0)
		quicktest.Assert(t, s.requestCount(), quicktest.Equals, 6)
	})
}

// TestGrantOutsideOfRegions guards against a scheduler that ignores regions, as those of older
// builds do: the instance must name the engines outside of them as ones to avoid, and use neither
// a lead nor a helper there.
func TestGrantOutsideOfRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionTestbed(t, nil, []script{closeConn, closeConn, closeConn, closeConn, closeConn})
		s.bind([]string{"eu"}, nil)
		x := &stream{exchange: &exchange{server: s.gate, view: s.gate.views.load(), start: time.Now()}}
		x.route, x.pool, x.regions.allowed = &s.tables.Routes[3], &s.tables.Pools[1], []string{"eu"}
		req := x.placementRequest()
		quicktest.Assert(t, req.Regions, quicktest.DeepEquals, []string{"eu"})
		quicktest.Assert(t, req.Avoid, quicktest.DeepEquals, []string{"t10", "t12", "t13"})
		for _, c := range []struct {
			g  place.Grant
			ok bool
		}{
			{place.Grant{Lead: "t11", Helpers: []string{"t14"}}, true},
			{place.Grant{Lead: "t10"}, false},
			{place.Grant{Lead: "t11", Helpers: []string{"t14", "t12"}}, false},
		} {
			_, _, ok := x.resolve(c.g)
			quicktest.Assert(t, ok, quicktest.Equals, c.ok, quicktest.Commentf("%v", c.g))
		}
		quicktest.Assert(t, x.allowsRelay("dc"), quicktest.IsTrue)
		quicktest.Assert(t, x.allowsRelay("dc-eu"), quicktest.IsTrue)
		quicktest.Assert(t, x.allowsRelay("dc-asia"), quicktest.IsFalse)
	})
}

// TestLookUpsOfInstance: look-ups at an entry must name instances of the caller's own region while
// it knows one, and after some seconds without a leader only itself: the others may have ended.
func TestLookUpsOfInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionTestbed(t, nil, nil)
		self := link.Entry{Name: "entry", DataCentre: "dc", Address: gateAddress}
		near, far := link.Entry{Name: "b", DataCentre: "dc", Address: "10.0.0.2:80"}, link.Entry{Name: "c", DataCentre: "dc-eu", Address: "10.0.0.3:80"}
		s.gate.SetEntries([]link.Entry{near, self})
		s.gate.SetRelays([]link.Entry{far})
		// The link counts the time since the last message of a leader from its start.
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		quicktest.Assert(t, s.gate.Link.Run(ended), quicktest.IsNil)
		quicktest.Assert(t, s.gate.Entries("dc"), quicktest.DeepEquals, []link.Entry{near, self})
		quicktest.Assert(t, s.gate.Entries("dc-eu"), quicktest.DeepEquals, []link.Entry{far})
		quicktest.Assert(t, s.gate.Entries("dc-asia"), quicktest.HasLen, 3)
		time.Sleep(link.MaxEntriesAge + time.Millisecond)
		quicktest.Assert(t, s.gate.Entries("dc"), quicktest.DeepEquals, []link.Entry{self})
		s.gate.Drain()
		quicktest.Assert(t, s.gate.Entries("dc"), quicktest.HasLen, 0)
	})
}

// TestRelaysOfBoundRequests guards against bound requests that pass through an instance of a third
// region: they may be relayed in the allowed region and in that of the instance itself.
func TestRelaysOfBoundRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRegionTestbed(t, []script{closeConn, closeConn, closeConn}, []script{closeConn, closeConn, closeConn})
		var mu sync.Mutex
		tried := make(map[string]bool)
		peers := []relay.Peer{{Addr: "10.0.3.1:7", DataCentre: "dc"}, {Addr: "10.0.3.2:7", DataCentre: "dc-eu"}, {Addr: "10.0.3.3:7", DataCentre: "dc-asia"}}
		dialer := &relay.Dialer{
			Direct: func(context.Context, string) (net.Conn, error) { return nil, io.ErrUnexpectedEOF },
			Calls: &wire.Pool{Dial: func(_ context.Context, addr string) (net.Conn, error) {
				mu.Lock()
				defer mu.Unlock()
				tried[addr] = true
				return nil, io.ErrUnexpectedEOF
			}},
			Peers: func() []relay.Peer { return peers }, DataCentre: "dc", Log: s.gate.Log, Metrics: s.gate.Metrics,
		}
		s.gate.TargetClient.Dial = dialer.Dial
		for _, regions := range [][]string{{"eu"}, nil} {
			clear(tried)
			s.bind(regions, nil)
			for _, path := range []string{idempotentPath, nonIdempotentPath, resumableStreamPath} {
				quicktest.Assert(t, s.call(path, "body").status, quicktest.Equals, 503)
			}
			quicktest.Assert(t, tried["10.0.3.1:7"] && tried["10.0.3.2:7"], quicktest.IsTrue)
			quicktest.Assert(t, tried["10.0.3.3:7"], quicktest.Equals, regions == nil)
		}
	})
}

// TestEntriesOfSpread guards against an entry that strips the instances of other data centres which the
// leader has added for callers of its own, or that names only these few to callers there.
func TestEntriesOfSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, nil, nil)
		list := []link.Entry{{Name: "a", DataCentre: "dc"}, {Name: "b", DataCentre: "dc"}, {Name: "c", DataCentre: "dc2"}, {Name: "d", DataCentre: "dc2"}}
		s.gate.SetEntries(list)
		// The link counts the time since the last message of a leader from its start.
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		quicktest.Assert(t, s.gate.Link.Run(ended), quicktest.IsNil)
		quicktest.Check(t, s.gate.Entries("dc"), quicktest.DeepEquals, list)
		quicktest.Check(t, s.gate.Entries("dc2"), quicktest.DeepEquals, list[:2])
	})
}
