package entry

import (
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
)

// digestTTL is how long a shard's load digest is used for choosing a shard.
const digestTTL = time.Second

// digestCache contains the newest load digest of each shard. The zero value is ready to use.
type digestCache struct {
	mu      sync.Mutex
	byShard map[member.Shard]cachedDigest
}

type cachedDigest struct {
	policy.Digest
	receivedAt time.Time
}

func (d *digestCache) set(sh member.Shard, digest policy.Digest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byShard == nil {
		d.byShard = make(map[member.Shard]cachedDigest)
	}
	d.byShard[sh] = cachedDigest{Digest: digest, receivedAt: time.Now()}
}

// get returns the digest of a shard if it is not older than digestTTL.
func (d *digestCache) get(sh member.Shard) (policy.Digest, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.byShard[sh]
	if !ok || time.Since(c.receivedAt) > digestTTL {
		delete(d.byShard, sh)
		return policy.Digest{}, false
	}
	return c.Digest, true
}
