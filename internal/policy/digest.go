package policy

import "time"

// minSpillGain is the reduction of the expected wait that justifies sending a request to
// another data centre; staying keeps the prefix cache warm.
const minSpillGain = 20 * time.Millisecond

// Digest summarises the load of a shard for other data centres.
type Digest struct {
	// Waits is the expected wait of a new request, by band.
	Waits [NumBands]time.Duration `cbor:"1,keyasint"`
	// Free is the KV cache memory that is not reserved, Total all of it, in tokens.
	Free  int `cbor:"2,keyasint"`
	Total int `cbor:"3,keyasint"`
	// Targets is the number of targets that accept work.
	Targets int `cbor:"4,keyasint"`
}

// Digest returns the load of the shard.
func (c *Core) Digest(now time.Time) Digest {
	c.initialise()
	d := Digest{Total: c.fleet.totalMemory, Targets: len(c.fleet.active)}
	for _, t := range c.fleet.active {
		d.Free += t.freeTokens()
	}
	for b := range NumBands {
		d.Waits[b] = c.laneWait(now, laneOf("", b))
	}
	return d
}

// Better reports whether a request should go to the shard of d instead of the shard of o,
// which is nearer; distance is the network delay that the shard of d adds.
func (d Digest) Better(o Digest, req Ask, distance time.Duration) bool {
	tokens := req.Prompt + req.Output
	if d.Total < tokens || d.Targets == 0 {
		return false
	}
	if o.Total < tokens || o.Targets == 0 {
		return true
	}
	b := BandOf(req.Prompt)
	return d.Waits[b]+distance+minSpillGain < o.Waits[b]
}

// Add updates the digest for a request that was sent to the shard since it was made; work
// is the predicted prefill time.
func (d *Digest) Add(req Ask, work time.Duration) {
	if d.Targets == 0 {
		return
	}
	for b := BandOf(req.Prompt); b < NumBands; b++ {
		d.Waits[b] += work / time.Duration(d.Targets)
	}
	d.Free -= req.Prompt + req.Output
}
