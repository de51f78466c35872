package main

import (
	"fmt"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Values that are the same in every version of the tables.
const (
	hostName     = "soak.example"
	organisation = "household"
	apiKey       = "the-key"
	enginePool   = "engines"
	plainPool    = "plain"
	targetSlots  = 16
	// keptVersions is how many later versions keep the route that a version adds.
	keptVersions = 30
)

// routes returns the routes that callers use. A quarter of the requests of each goes to the other kind of pool.
func routes() []site.Route {
	share := func(most, few string) []site.PoolWeight {
		return []site.PoolWeight{{Pool: most, Weight: 3}, {Pool: few, Weight: 1}}
	}
	return []site.Route{
		{
			Name: "ask", Host: hostName, Prefix: "/ask/", Kind: site.Streaming, Limit: requestTimeout, Aim: 500 * time.Millisecond, Pause: 250 * time.Millisecond,
			Attempts: 3, Resumable: true, Split: share(enginePool, plainPool),
		},
		{Name: "file", Host: hostName, Prefix: "/file/", Kind: site.NonIdempotent, Limit: requestTimeout, Aim: 300 * time.Millisecond, Attempts: 2, Split: share(plainPool, enginePool)},
		{Name: "look", Host: hostName, Prefix: "/look/", Kind: site.Idempotent, Limit: requestTimeout, Aim: 300 * time.Millisecond, Attempts: 2, Split: share(plainPool, enginePool)},
	}
}

// patience returns how long the caller of a route waits for the next event, or for a plain answer.
func patience(r site.Route) time.Duration {
	if r.Kind != site.Streaming {
		return r.Limit
	}
	return max(minPatience, 4*r.Aim, 8*r.Pause)
}

// tables returns the tables of a version. Each version adds a unique public route, which
// shows a probe whether an entry uses that version.
func tables(version int64) *site.Tables {
	t := &site.Tables{
		Version: version, Keyed: true, Routes: routes(),
		Organisations: []site.Organisation{{Name: organisation, Keys: []string{apiKey}}},
		Pools: []site.Pool{
			{Name: plainPool, Connections: 400},
			{Name: enginePool, Connections: 400, Engine: &site.Engine{
				Slots: targetSlots, Memory: 400_000, Step: time.Millisecond, Rate: prefillRate, Chunk: 2048, Stride: 20,
			}},
		},
	}
	for v := max(1, version-keptVersions); v <= version; v++ {
		t.Routes = append(t.Routes, site.Route{
			Name: fmt.Sprint("v", v), Host: hostName, Prefix: versionPath(v), Kind: site.Idempotent, Limit: requestTimeout, Aim: time.Second,
			Attempts: 2, Public: true, Split: []site.PoolWeight{{Pool: plainPool, Weight: 1}},
		})
	}
	return t
}

// versionPath returns the path prefix of the route that a version adds.
func versionPath(v int64) string { return fmt.Sprintf("/v/%d/", v) }
