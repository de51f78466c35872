package main

import (
	"fmt"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// What every version of the tables has.
const (
	hostName     = "soak.example"
	organisation = "household"
	key          = "the-key"
	enginePool   = "engines"
	plainPool    = "plain"
	slots        = 16
	// keptVersions is how many versions the route that a version brings is kept for.
	keptVersions = 30
)

// routes are those that callers use.
func routes() []site.Route {
	share := func(pool string) []site.PoolWeight { return []site.PoolWeight{{Pool: pool, Weight: 1}} }
	return []site.Route{
		{
			Name: "ask", Host: hostName, Prefix: "/ask/", Kind: site.Streaming, Limit: limit, Aim: time.Second, Pause: 500 * time.Millisecond,
			Attempts: 3, Resumable: true, Split: share(enginePool),
		},
		{Name: "file", Host: hostName, Prefix: "/file/", Kind: site.NonIdempotent, Limit: limit, Aim: 300 * time.Millisecond, Attempts: 2, Split: share(plainPool)},
		{Name: "look", Host: hostName, Prefix: "/look/", Kind: site.Idempotent, Limit: limit, Aim: 300 * time.Millisecond, Attempts: 2, Split: share(plainPool)},
	}
}

// tables are those of a version: it brings a public route of its own, which shows that
// it is in force.
func tables(version int64) *site.Tables {
	t := &site.Tables{
		Version: version, Keyed: true, Routes: routes(),
		Organisations: []site.Organisation{{Name: organisation, Keys: []string{key}}},
		Pools: []site.Pool{
			{Name: plainPool, Connections: 400},
			{Name: enginePool, Connections: 400, Engine: &site.Engine{
				Slots: slots, Memory: 400_000, Step: time.Millisecond, Rate: readRate, Chunk: 2048, Stride: 20,
			}},
		},
	}
	for v := max(1, version-keptVersions); v <= version; v++ {
		t.Routes = append(t.Routes, site.Route{
			Name: fmt.Sprint("v", v), Host: hostName, Prefix: versionPath(v), Kind: site.Idempotent, Limit: limit, Aim: time.Second,
			Attempts: 2, Public: true, Split: []site.PoolWeight{{Pool: plainPool, Weight: 1}},
		})
	}
	return t
}

// versionPath is the prefix of the route that a version brings.
func versionPath(v int64) string { return fmt.Sprintf("/v/%d/", v) }
