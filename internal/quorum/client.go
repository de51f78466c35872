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

// ReportRequest asks a replica for a Report.
type ReportRequest struct{}

// Report is what operators see of the replicas.
type Report struct {
	// Leads says that the replica that answered leads.
	Leads bool `cbor:"1,keyasint" json:"-"`
	// Leader is the address of the leader, or "".
	Leader   string    `cbor:"2,keyasint" json:"leader"`
	Term     uint64    `cbor:"3,keyasint" json:"term"`
	Commit   uint64    `cbor:"4,keyasint" json:"commit"`
	Replicas []Replica `cbor:"5,keyasint" json:"replicas"`
}

// MarshalText encodes the ID for operators.
func (id ID) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(id)), nil }

// UnmarshalText decodes what MarshalText made.
func (id *ID) UnmarshalText(b []byte) error {
	n, err := strconv.ParseUint(string(b), 16, 64)
	*id = ID(n)
	return err
}

// Client asks the control instances about their replicas.
type Client struct {
	// Seeds are the peer addresses of control instances.
	Seeds []string
	Calls wire.Caller
}

// Report returns the leader's picture, or that of any replica without one.
func (c *Client) Report(ctx context.Context) (Report, error) {
	var best Report
	err := c.tryEachSeed(ctx, func(ctx context.Context, addr string) error {
		var r Report
		if err := c.Calls.Call(ctx, addr, reportMethod, &ReportRequest{}, &r); err != nil {
			return err
		}
		best = r
		if !r.Leads {
			return notLeaderError()
		}
		return nil
	})
	if err != nil && best.Replicas == nil {
		return Report{}, err
	}
	return best, nil
}

// Change has the leader carry out an order, and looks for it for a while.
func (c *Client) Change(ctx context.Context, o Order) error {
	if err := o.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		err := c.tryEachSeed(ctx, func(ctx context.Context, addr string) error {
			return c.Calls.Call(ctx, addr, changeMethod, &o, &Empty{})
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

// tryEachSeed asks one seed after the other until one does not send it on.
func (c *Client) tryEachSeed(ctx context.Context, call func(context.Context, string) error) error {
	var lastErr error = verd.New(verd.NotRun, verd.Unavailable, "no control instance is known")
	for _, addr := range c.Seeds {
		cctx, cancel := context.WithTimeout(ctx, changeTimeout)
		lastErr = call(cctx, addr)
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
		Leads: st.Leads, Leader: leader, Term: st.Term, Commit: st.Commit, Replicas: st.Config.Replicas,
	}, nil
}
