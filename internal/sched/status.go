package sched

import (
	"cmp"
	"context"
	"slices"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// statusMethod is the RPC method that reports the shards which an instance schedules.
const statusMethod = "sched.status"

// Status is the state of one shard as its scheduler has it.
type Status struct {
	Shard member.Shard `json:"shard" cbor:"1,keyasint"`
	Epoch uint64       `json:"epoch" cbor:"2,keyasint"`
	// Waiting is the number of requests without a grant, Granted the number of grants in
	// use.
	Waiting int `json:"waiting" cbor:"3,keyasint"`
	Granted int `json:"granted" cbor:"4,keyasint"`
	// Reserved is the KV cache memory reserved on all targets, in tokens.
	Reserved int             `json:"reserved_tokens" cbor:"5,keyasint"`
	Targets  []engine.Target `json:"targets" cbor:"6,keyasint"`
}

// StatusCall requests from an instance the state of the shards that it schedules.
type StatusCall struct{}

// StatusReply is the reply to a StatusCall. The shards are sorted by name.
type StatusReply struct {
	Shards []Status `cbor:"1,keyasint"`
}

func (s *Service) statusHandler() wire.Method {
	return wire.Method{Name: statusMethod, New: func() any { return new(StatusCall) }, Run: s.handleStatus}
}

func (s *Service) handleStatus(ctx context.Context, _ any) (any, error) {
	s.mu.Lock()
	var schedulers []*scheduler
	for _, sc := range s.schedulers {
		schedulers = append(schedulers, sc)
	}
	s.mu.Unlock()
	out := &StatusReply{}
	for _, sc := range schedulers {
		if st, ok := sc.readStatus(ctx); ok {
			out.Shards = append(out.Shards, st)
		}
	}
	slices.SortFunc(out.Shards, func(a, b Status) int { return cmp.Compare(a.Shard.String(), b.Shard.String()) })
	return out, nil
}

// readStatus reads the state of the shard on the goroutine of run. It returns false if
// run or ctx ends first.
func (sc *scheduler) readStatus(ctx context.Context) (Status, bool) {
	ch := make(chan Status, 1)
	read := func(c *policy.Core) {
		ch <- Status{
			Shard: sc.shard, Epoch: sc.epoch, Waiting: c.Waiting(), Granted: c.Granted(),
			Reserved: c.Reserved(), Targets: c.Targets(),
		}
	}
	select {
	case sc.inbox <- message{inspect: read}:
	case <-sc.done:
		return Status{}, false
	case <-ctx.Done():
		return Status{}, false
	}
	select {
	case st := <-ch:
		return st, true
	case <-sc.done:
		return Status{}, false
	case <-ctx.Done():
		return Status{}, false
	}
}

// Status returns the state of the shards that the instance at a peer address schedules.
func (c *Client) Status(ctx context.Context, addr string) ([]Status, error) {
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	var out StatusReply
	if err := c.Calls.Call(ctx, addr, statusMethod, &StatusCall{}, &out); err != nil {
		return nil, err
	}
	return out.Shards, nil
}
