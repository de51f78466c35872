package sched

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// resendInterval is the pause before a call that reached no scheduler is sent again.
const resendInterval = 200 * time.Millisecond

// Client calls the schedulers of shards, on whichever instance they run.
type Client struct {
	Members member.ViewSource
	Calls   wire.Caller
}

// Ask polls once for a grant in a shard. Its errors always have the verdict NotRun: a
// grant whose reply is lost expires unused.
func (c *Client) Ask(ctx context.Context, sh member.Shard, a policy.Ask) (*AskReply, error) {
	ctx, stop := context.WithTimeout(ctx, pollTimeout+callTimeout)
	defer stop()
	var rep AskReply
	if err := c.call(ctx, sh, askMethod, &AskCall{Shard: sh, Ask: a}, &rep); err != nil {
		e := *verd.From(err)
		e.Verdict = verd.NotRun
		return nil, &e
	}
	return &rep, nil
}

// Withdraw cancels a request for a grant. If the call is lost, the request expires at the
// scheduler.
func (c *Client) Withdraw(ctx context.Context, sh member.Shard, id string) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return c.call(ctx, sh, withdrawMethod, &WithdrawCall{Shard: sh, ID: id}, &EmptyReply{})
}

// Renew renews grants with one call per instance, and returns the grants that their
// schedulers do not know. Grants of a shard without a scheduler are skipped. If several
// calls fail, it returns one of their errors.
func (c *Client) Renew(ctx context.Context, rs []Renewal) (unknown []string, err error) {
	v := c.Members.View()
	if v == nil {
		return nil, noViewError()
	}
	byAddr := make(map[string][]Renewal)
	for _, r := range rs {
		if _, m, ok := v.Scheduler(r.Shard); ok {
			byAddr[m.PeerAddr] = append(byAddr[m.PeerAddr], r)
		}
	}
	for addr, renewals := range byAddr {
		var rep RenewReply
		if e := c.callAt(ctx, addr, renewMethod, &RenewCall{Renewals: renewals}, &rep); e != nil {
			err = e
		}
		unknown = append(unknown, rep.Unknown...)
	}
	return unknown, err
}

// Adopt registers grants in use with the scheduler of a shard that does not know them.
func (c *Client) Adopt(ctx context.Context, sh member.Shard, gs []LiveGrant) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return c.call(ctx, sh, adoptMethod, &AdoptCall{Grants: gs}, &EmptyReply{})
}

// Release returns a grant. While no scheduler can be reached, the call is sent again
// until ctx ends; by then the grant should have expired.
func (c *Client) Release(ctx context.Context, r ReleaseCall) error {
	return c.resend(ctx, r.Shard, releaseMethod, &r)
}

// Announce forwards a target's announcement to the scheduler of its shard. While none can
// be reached, the call is sent again until ctx ends.
func (c *Client) Announce(ctx context.Context, a engine.Announcement) error {
	v := c.Members.View()
	if v == nil {
		return noViewError()
	}
	sh := shardOrFallback(v, member.Shard{Pool: a.Target.Pool, DataCentre: a.Target.DataCentre})
	return c.resend(ctx, sh, announceMethod, &AnnounceCall{Shard: sh, Announcement: a})
}

// resend makes an idempotent call, and repeats it while no scheduler is reached, until
// ctx ends.
func (c *Client) resend(ctx context.Context, sh member.Shard, method string, in any) error {
	for {
		cctx, stop := context.WithTimeout(ctx, callTimeout)
		err := c.call(cctx, sh, method, in, &EmptyReply{})
		stop()
		if err == nil || !Moved(err) || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(resendInterval):
		}
	}
}

// Moved reports whether a call failed because of where it was sent: the shard has no
// scheduler, the scheduler was not reached, or the shard has moved to another instance.
func Moved(err error) bool {
	e := verd.From(err)
	return e.Reason == verd.Moved || e.Reason == verd.Unreached
}

// shardOrFallback returns the shard if it has a scheduler. Otherwise it returns a shard
// of the same pool that has one, chosen by rendezvous hashing so that every instance
// chooses the same. If there is none, it returns the shard itself.
func shardOrFallback(v *member.View, sh member.Shard) member.Shard {
	best, bestHash := sh, uint64(0)
	for _, l := range v.Leases {
		if l.Shard == sh {
			return sh
		}
		if l.Shard.Pool != sh.Pool {
			continue
		}
		if h := xxhash.Sum64String(sh.DataCentre + " " + l.Shard.DataCentre); h > bestHash {
			best, bestHash = l.Shard, h
		}
	}
	return best
}

// noViewError is the error of a call made before this instance has its first view.
func noViewError() error {
	return verd.New(verd.NotRun, verd.Moved, "no configuration received yet")
}

// call calls the scheduler of a shard.
func (c *Client) call(ctx context.Context, sh member.Shard, method string, in, out any) error {
	v := c.Members.View()
	if v == nil {
		return noViewError()
	}
	_, m, ok := v.Scheduler(sh)
	if !ok {
		return verd.New(verd.NotRun, verd.Moved, "shard %s has no scheduler", sh)
	}
	return c.Calls.Call(ctx, m.PeerAddr, method, in, out)
}

// callAt calls the scheduler service at a peer address, for callTimeout at most.
func (c *Client) callAt(ctx context.Context, addr, method string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	return c.Calls.Call(ctx, addr, method, in, out)
}
