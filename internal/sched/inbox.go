package sched

import (
	"context"

	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// send queues a message for run. It returns false if run has ended.
func (sc *scheduler) send(m message) bool {
	select {
	case sc.inbox <- m:
		return true
	case <-sc.done:
		return false
	}
}

// post queues an event for run, and drops it if run has ended.
func (sc *scheduler) post(e policy.Event) { sc.send(message{event: e}) }

// pollGrant polls for a grant. It returns within pollTimeout and tickInterval.
func (sc *scheduler) pollGrant(ctx context.Context, a policy.Ask) (*AskReply, error) {
	ch := make(chan pollResult, 1)
	if !sc.send(message{ask: &a, result: ch}) {
		return nil, sc.movedError()
	}
	select {
	case ans := <-ch:
		return &ans.reply, ans.err
	case <-sc.done:
		return nil, sc.movedError()
	case <-ctx.Done():
		return nil, verd.Wrap(ctx.Err(), verd.NotRun, verd.Timeout, "no grant in shard %s", sc.shard)
	}
}

// renew renews grants and returns the IDs of those that are unknown.
func (sc *scheduler) renew(ctx context.Context, rs []Renewal) ([]string, error) {
	ch := make(chan []string, 1)
	if !sc.send(message{renewals: rs, unknownGrants: ch}) {
		return nil, sc.movedError()
	}
	select {
	case unknown := <-ch:
		return unknown, nil
	case <-sc.done:
		return nil, sc.movedError()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// movedError is the error of a call that arrives after run has ended.
func (sc *scheduler) movedError() error {
	return verd.New(verd.NotRun, verd.Moved, "shard %s is no longer scheduled on instance %s", sc.shard, sc.Self)
}
