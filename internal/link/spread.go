package link

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// Spread says which part of the callers of a data centre look-ups send to others of its region.
type Spread struct {
	DataCentre string       `cbor:"1,keyasint"`
	Parts      []SpreadPart `cbor:"2,keyasint"`
}

// SpreadPart is the part that is sent to one other data centre.
type SpreadPart struct {
	DataCentre string `cbor:"1,keyasint"`
	// PerMille is the part in thousandths of the callers.
	PerMille uint16 `cbor:"2,keyasint"`
}

// perMille is what the parts of a Spread are counted in.
const perMille = 1000

// Share returns the part of the callers that is sent to other data centres, from 0 to 1.
func (s Spread) Share() float64 {
	sum := 0
	for _, p := range s.Parts {
		sum += int(p.PerMille)
	}
	return float64(sum) / perMille
}

var errSpread = errors.New("a spread sends all callers of a data centre away, or more")

// Load says how busy an instance is that serves callers.
type Load struct {
	// Requests is the number of requests in progress.
	Requests uint32 `cbor:"1,keyasint,omitempty"`
	// DelayMs is by how many milliseconds its timers are late on average.
	DelayMs uint16 `cbor:"2,keyasint,omitempty"`
}

// SpreadEntries returns the instances that callers of a data centre should use, like EntriesFor. If
// there is a Spread for it, it adds instances of other data centres, in proportion. Which ones depends
// on the seed: with the names of those that answer look-ups, all instances get an equal part.
func SpreadEntries(all []Entry, dataCentre string, regions site.Regions, spreads []Spread, seed string) []Entry {
	i := slices.IndexFunc(spreads, func(s Spread) bool { return s.DataCentre == dataCentre })
	local := entriesOf(all, dataCentre)
	if i < 0 || len(local) < minLocalEntries || spreads[i].Share() >= 1 {
		return EntriesFor(all, dataCentre, regions)
	}
	// The local instances are as many as the part of the callers that remains, in the whole list.
	total := min(maxEntries, float64(len(local))/(1-spreads[i].Share()))
	var remote []Entry
	for _, p := range spreads[i].Parts {
		if p.DataCentre != dataCentre && regions.Same(p.DataCentre, dataCentre) {
			n := math.Round(total * float64(p.PerMille) / perMille)
			remote = append(remote, pickEntries(entriesOf(all, p.DataCentre), int(n), seed)...)
		}
	}
	remote = remote[:min(len(remote), maxEntries-minLocalEntries)]
	return SortEntries(append(remote, pickEntries(local, maxEntries-len(remote), seed)...))
}

// entriesOf returns the instances of a data centre.
func entriesOf(all []Entry, dataCentre string) []Entry {
	var out []Entry
	for _, e := range all {
		if e.DataCentre == dataCentre {
			out = append(out, e)
		}
	}
	return out
}

// pickEntries returns n of the instances of a list, or all if it has fewer. A change of the list changes
// few of those that are picked. It may reorder the list.
func pickEntries(list []Entry, n int, seed string) []Entry {
	if len(list) <= n {
		return list
	}
	weights := make(map[string]uint64, len(list))
	for _, e := range list {
		weights[e.Name] = xxhash.Sum64String(seed + "/" + e.Name)
	}
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(weights[a.Name], weights[b.Name]) })
	return list[:n]
}
