package quorum

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const reportMethod = "quorum.report"

// ReportRequest requests a Report from a replica.
type ReportRequest struct{}

// Report describes the group to operators, as one replica sees it.
type Report struct {
	// IsLeader is set if the replica that made the report is the leader.
	IsLeader bool `cbor:"1,keyasint" json:"-"`
	// Leader is the peer address of the leader, or "" if none is known.
	Leader   string    `cbor:"2,keyasint" json:"leader"`
	Term     uint64    `cbor:"3,keyasint" json:"term"`
	Commit   uint64    `cbor:"4,keyasint" json:"commit"`
	Replicas []Replica `cbor:"5,keyasint" json:"replicas"`
}

// MarshalText encodes the ID as 16 hexadecimal digits.
func (id ID) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(id)), nil }

// UnmarshalText decodes a hexadecimal ID.
func (id *ID) UnmarshalText(b []byte) error {
	n, err := strconv.ParseUint(string(b), 16, 64)
	*id = ID(n)
	return err
}

// Client queries and changes the replicas of the control instances from any instance.
type Client struct {
	// Seeds are the peer addresses of control instances, tried in order.
	Seeds []string
	Calls wire.Caller
}

// Report returns the leader's report. If no seed leads, it returns the report of the last
// seed that answered.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var latest Report
	err := c.tryEachSeed(ctx, func(ctx context.Context, addr string) error {
		var r Report
		if err := c.Calls.Call(ctx, addr, reportMethod, &ReportRequest{}, &r); err != nil {
			return err
		}
		latest = r
		if !r.IsLeader {
			return notLeaderError()
		}
		return nil
	})
	if err != nil && latest.Replicas == nil {
		return Report{}, err
	}
	return latest, nil
}

// ChangeMembers sends a change of the replicas to the leader. It retries while no leader accepts
// it, for at most changeTimeout.
func (c *Client) ChangeMembers(ctx context.Context, r ChangeRequest) error {
	if err := r.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		err := c.tryEachSeed(ctx, func(ctx context.Context, addr string) error {
			return c.Calls.Call(ctx, addr, changeMethod, &r, &Empty{})
		})
		if err == nil || !isRetryable(verd.From(err)) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(leaderRetryInterval):
		}
	}
}

// tryEachSeed calls the seeds in order until one succeeds or fails with an error that
// another replica would return too. It returns the last error.
func (c *Client) tryEachSeed(ctx context.Context, call func(context.Context, string) error) error {
	var lastErr error = verd.New(verd.NotRun, verd.Unavailable, "no control instance is known")
	for _, addr := range c.Seeds {
		callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		lastErr = call(callCtx, addr)
		cancel()
		if lastErr == nil {
			return nil
		}
		if e := verd.From(lastErr); !isRetryable(e) {
			return e
		}
	}
	return lastErr
}

func (n *Node) onReport(context.Context, any) (any, error) {
	st := n.Status()
	leader, _ := n.Leader()
	return &Report{
		IsLeader: st.IsLeader, Leader: leader, Term: st.Term, Commit: st.Commit, Replicas: st.Config.Replicas,
	}, nil
}
