package crowd

import (
	"net/http"
	"strings"
	"testing"

	"github.com/bambooproxy/bambooproxy/platform"
)

const (
	// manyConns is more connections than a process has descriptors.
	manyConns = descriptors + 50
	// largeCount is how many members send bodies of maxBodyBytes. Together these exceed the memory.
	largeCount = 64
	// smallBytes is the size of a body that net/http discards if the handler leaves it unread.
	smallBytes = 100_000
	// fieldsCount is how many members send heads of many fields.
	fieldsCount = 200
)

// place is where a crowd sends its requests.
type place struct {
	name, address, line string
	// ordinary sends an ordinary request there.
	ordinary func() error
}

// places returns all places, those of callers first.
func (s *testSite) places() []place {
	get := func(url string) func() error {
		return func() error {
			status, err := call(http.MethodGet, "http://"+url, nil)
			return wantStatus(status, err)
		}
	}
	entry, control := s.entry.settings, s.control.settings
	resolve := platform.ResolvePath(hostName, dataCentre)
	return []place{
		{"route", entry.Callers, "POST " + routePath + "1", s.sendOrdinary},
		{"unrouted", entry.Callers, "POST " + unroutedPath + "1", s.sendOrdinary},
		{"ready", entry.Ready, "GET /ready", get(entry.Ready + "/ready")},
		{"config", control.Control, "PUT " + platform.ConfigPath, s.publish},
		{"instances", control.Control, "PUT " + platform.TargetPath("crowd"), s.publish},
		{"directory", entry.Directory, "GET " + resolve, get(entry.Directory + resolve)},
		{"metrics", entry.Metrics, "GET /metrics", get(entry.Metrics + "/metrics")},
	}
}

// Names of places.
const (
	callersPlaces = "route unrouted ready"
	allPlaces     = callersPlaces + " config instances directory metrics"
)

// testCrowd runs a crowd at each of the places, each time against a new site.
func testCrowd(t *testing.T, names string, size int, members func(p place) member) {
	for _, name := range strings.Fields(names) {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			for _, p := range s.places() {
				if p.name != name {
					continue
				}
				startCrowd(t, size, p.address, members(p))
				s.check()
				s.await("an ordinary request is served at "+name, p.ordinary)
				s.entry.check(t)
				s.control.check(t)
			}
		})
	}
}

// TestCalm checks the harness: without a crowd, the processes serve within their limits.
func TestCalm(t *testing.T) { newSite(t).check() }

// TestLargeBodiesStopShort: bodies of legal size that together exceed the memory and stop a byte short.
func TestLargeBodiesStopShort(t *testing.T) {
	testCrowd(t, "route unrouted ready config", largeCount, func(p place) member { return stopShort(p.line, maxBodyBytes) })
}

// TestManyBodiesStopShort: more bodies that stop a byte short than there are descriptors.
func TestManyBodiesStopShort(t *testing.T) {
	testCrowd(t, allPlaces, manyConns, func(p place) member { return stopShort(p.line, smallBytes) })
}

// TestBodiesOverLimit: bodies far over the limit, with a length and in chunks without end.
func TestBodiesOverLimit(t *testing.T) {
	testCrowd(t, "route unrouted ready config", largeCount, func(p place) member { return sendTooMuch(p.line, maxBodyBytes) })
}

// TestHeadsOfManyFields: heads of legal size cost a multiple of it in memory if they consist of short fields.
func TestHeadsOfManyFields(t *testing.T) {
	testCrowd(t, "route unrouted ready config", fieldsCount, func(p place) member { return shortFields(p.line) })
}

// TestRequestsSentAhead: many requests on each connection, and no answer is read.
func TestRequestsSentAhead(t *testing.T) {
	testCrowd(t, "route unrouted ready config", manyConns, func(p place) member { return sendAhead(p.line, 500, 10) })
}

// TestBodiesSentAhead: the same with bodies.
func TestBodiesSentAhead(t *testing.T) {
	testCrowd(t, callersPlaces, largeCount, func(p place) member { return sendAhead(p.line, 50, ordinaryBytes) })
}

// TestLargeAnswersUnread: answers that together exceed the memory, and nobody reads them.
func TestLargeAnswersUnread(t *testing.T) {
	testCrowd(t, "route", manyConns, func(place) member { return sendAhead("POST "+largePath, 3, 10) })
}

// TestSlowConnections: more connections than descriptors, on which little or nothing comes or is read.
func TestSlowConnections(t *testing.T) {
	testCrowd(t, allPlaces, manyConns, func(p place) member { return beSlow(p.line) })
}
