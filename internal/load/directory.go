package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/pkg/caller"
)

const (
	// fetchTimeout bounds one request for the list of entries.
	fetchTimeout = time.Second
	// retryInterval is the time after which a failed refresh is retried. It is also
	// the shortest time between two refreshes.
	retryInterval = time.Second
)

// directory keeps the addresses of the entries and refreshes them when their lifetime
// ends.
type directory struct {
	http  *http.Client
	seeds []string

	mu        sync.Mutex
	addrs     []string
	nextIndex int
}

// run keeps the addresses fresh until ctx is done.
func (d *directory) run(ctx context.Context) {
	for {
		wait := d.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// refresh fetches the addresses from the first instance that answers and returns the time
// until the next refresh. Addresses that are not on the loopback are left out.
func (d *directory) refresh(ctx context.Context) time.Duration {
	for _, addr := range append(d.addresses(), d.seeds...) {
		entries, err := d.fetch(ctx, addr)
		if err != nil {
			continue
		}
		var addrs []string
		for _, entry := range entries.Entries {
			if checkLoopback(entry.Addr) == nil {
				addrs = append(addrs, entry.Addr)
			}
		}
		if len(addrs) == 0 {
			continue
		}
		d.mu.Lock()
		d.addrs = addrs
		d.mu.Unlock()
		return max(time.Duration(entries.Lifetime)*time.Second, retryInterval)
	}
	return retryInterval
}

// fetch requests the list of entries from one instance.
func (d *directory) fetch(ctx context.Context, addr string) (*caller.Entries, error) {
	ctx, stop := context.WithTimeout(ctx, fetchTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/entries", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "create the request for the entries from %s", addr)
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "request the entries from %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("request the entries from %s: status %d, expected 200", addr, resp.StatusCode)
	}
	var entries caller.Entries
	return &entries, errors.Wrapf(json.NewDecoder(resp.Body).Decode(&entries), "decode the entries from %s", addr)
}

// addresses returns the last fetched addresses, or the seeds before the first fetch.
func (d *directory) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.addrs) == 0 {
		return d.seeds
	}
	return d.addrs
}

// rotated returns all addresses, rotated by one more with each call.
func (d *directory) rotated() []string {
	list := d.addresses()
	d.mu.Lock()
	d.nextIndex++
	first := d.nextIndex % len(list)
	d.mu.Unlock()
	out := make([]string, 0, len(list))
	return append(append(out, list[first:]...), list[:first]...)
}
