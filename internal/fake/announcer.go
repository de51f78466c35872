package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// announceInterval is the time between the announcements of a target, and the timeout of
// each one.
const announceInterval = time.Second

// Announcer announces a target to the instances in turn until one of them accepts the
// announcement.
type Announcer struct {
	Client *http.Client
	// Entries are the addresses at which instances listen for callers.
	Entries []string
	Target  engine.Target
	// Report returns the load that is announced. It may be nil.
	Report func() engine.Report
	// Pool returns the pool that the last LoadModel order set, or "". It may be nil.
	Pool func() string
}

// Run announces the target until ctx ends, and then announces once that it is leaving.
func (a *Announcer) Run(ctx context.Context) {
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		a.switchPool(ctx)
		// A failed announcement is repeated at the next tick.
		_ = a.Announce(ctx, false)
		select {
		case <-ctx.Done():
			last, stop := context.WithTimeout(context.WithoutCancel(ctx), announceInterval)
			defer stop()
			_ = a.Announce(last, true)
			return
		case <-tick.C:
		}
	}
}

// switchPool announces that the target leaves its pool if a LoadModel order set another
// pool, and then changes the pool.
func (a *Announcer) switchPool(ctx context.Context) {
	if a.Pool == nil {
		return
	}
	if to := a.Pool(); to != "" && to != a.Target.Pool && a.Announce(ctx, true) == nil {
		a.Target.Pool = to
	}
}

// Announce announces the target once. It returns the error of the last instance if none
// accepts the announcement.
func (a *Announcer) Announce(ctx context.Context, leaving bool) error {
	announcement := engine.Announcement{Target: a.Target}
	announcement.Target.Leaving = leaving
	if a.Report != nil {
		announcement.Report = a.Report()
	}
	body, err := json.Marshal(announcement)
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	for _, addr := range a.Entries {
		if err = a.post(ctx, addr, body); err == nil {
			return nil
		}
	}
	return err
}

// post sends one encoded announcement to an instance.
func (a *Announcer) post(ctx context.Context, addr string, body []byte) error {
	ctx, stop := context.WithTimeout(ctx, announceInterval)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/targets", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "announce target to %s", addr)
	}
	resp, err := a.Client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "announce target to %s", addr)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("announce target to %s: status %d, expected %d", addr, resp.StatusCode, http.StatusNoContent)
	}
	return nil
}
