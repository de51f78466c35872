package hub

import (
	"context"
	"sync"

	"github.com/bambooproxy/bambooproxy/internal/reg"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// forwardMethod commits registry commands of another control instance.
	forwardMethod = "hub.forward"
	// maxForwardCalls bounds the concurrent calls to the leader, and maxForwarded the commands in
	// one of them.
	maxForwardCalls = 2
	maxForwarded    = 256
)

// forwardRequest carries registry commands to the leader.
type forwardRequest struct {
	Commands [][]byte `cbor:"1,keyasint"`
}

// Check rejects a request with more than maxForwarded commands.
func (r *forwardRequest) Check() error {
	if len(r.Commands) > maxForwarded {
		return verd.New(verd.NotRun, verd.BadRequest, "%d registry commands, limit is %d", len(r.Commands), maxForwarded)
	}
	return nil
}

// forwardResponse carries the result of each command.
type forwardResponse struct {
	Results []forwardResult `cbor:"1,keyasint"`
}

// forwardResult is the outcome of a command: its encoded reg.Result or an error.
type forwardResult struct {
	Value []byte      `cbor:"1,keyasint,omitempty"`
	Error *verd.Error `cbor:"2,keyasint,omitempty"`
}

// forwarder passes registry commands on to the leader, many in a call. When a whole fleet of
// targets announces itself, a call for each would need as many connections.
type forwarder struct {
	server *Server

	mu sync.Mutex
	// queues holds a queue for each leader that is being called, by peer address.
	queues map[string]*forwardQueue
}

// forwardQueue holds the commands that wait for a call to a leader.
type forwardQueue struct {
	waiting []*forwarded
	// calls is the number of concurrent calls.
	calls int
}

// forwarded is a command to be forwarded. ctx ends when nobody waits for its result any more.
type forwarded struct {
	ctx     context.Context
	command []byte
	done    chan forwardResult
}

// propose commits a command through the leader and returns the result of applying it.
func (f *forwarder) propose(ctx context.Context, leader string, command []byte) ([]byte, error) {
	c := &forwarded{ctx: ctx, command: command, done: make(chan forwardResult, 1)}
	f.mu.Lock()
	if f.queues == nil {
		f.queues = make(map[string]*forwardQueue)
	}
	q := f.queues[leader]
	if q == nil {
		q = &forwardQueue{}
		f.queues[leader] = q
	}
	q.waiting = append(q.waiting, c)
	if q.calls < maxForwardCalls {
		q.calls++
		go f.run(leader, q)
	}
	f.mu.Unlock()
	select {
	case r := <-c.done:
		if r.Error != nil {
			return nil, r.Error
		}
		return r.Value, nil
	case <-ctx.Done():
		return nil, verd.Wrap(ctx.Err(), verd.MayHaveRun, verd.Timeout, "the leader did not commit the command before the call ended")
	}
}

// run calls a leader until its queue is empty.
func (f *forwarder) run(leader string, q *forwardQueue) {
	for batch := f.take(leader, q); len(batch) > 0; batch = f.take(leader, q) {
		f.call(leader, batch)
	}
}

// take removes and returns the next commands of a queue that somebody waits for. If there are
// none, the call of the caller is over.
func (f *forwarder) take(leader string, q *forwardQueue) []*forwarded {
	f.mu.Lock()
	defer f.mu.Unlock()
	var batch []*forwarded
	for len(q.waiting) > 0 && len(batch) < maxForwarded {
		if c := q.waiting[0]; c.ctx.Err() == nil {
			batch = append(batch, c)
		}
		q.waiting = q.waiting[1:]
	}
	if len(batch) == 0 {
		if q.calls--; q.calls == 0 {
			delete(f.queues, leader)
		}
	}
	return batch
}

// call forwards commands to a leader.
func (f *forwarder) call(leader string, batch []*forwarded) {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	var req forwardRequest
	for _, c := range batch {
		req.Commands = append(req.Commands, c.command)
	}
	var resp forwardResponse
	err := f.server.Calls.Call(ctx, leader, forwardMethod, &req, &resp)
	if err == nil && len(resp.Results) != len(batch) {
		err = verd.New(verd.MayHaveRun, verd.Internal, "%d results for %d registry commands", len(resp.Results), len(batch))
	}
	if err == nil {
		for i, c := range batch {
			c.done <- resp.Results[i]
		}
		return
	}
	e := verd.From(err)
	for _, c := range batch {
		if e.Reason == verd.Unavailable {
			// The leader is of a build without this method.
			go f.proposeAlone(c)
			continue
		}
		c.done <- forwardResult{Error: e}
	}
}

// proposeAlone commits a command with a call of its own.
func (f *forwarder) proposeAlone(c *forwarded) {
	c.done <- newForwardResult(f.server.replica().Propose(c.ctx, c.command))
}

func newForwardResult(value []byte, err error) forwardResult {
	if err != nil {
		return forwardResult{Error: verd.From(err)}
	}
	return forwardResult{Value: value}
}

// handleForward answers forwardMethod.
func (s *Server) handleForward(ctx context.Context, in any) (any, error) {
	req := in.(*forwardRequest)
	n := s.replica()
	resp := &forwardResponse{Results: make([]forwardResult, len(req.Commands))}
	var wg sync.WaitGroup
	for i, c := range req.Commands {
		wg.Go(func() { resp.Results[i] = newForwardResult(n.ProposeLocal(ctx, c)) })
	}
	wg.Wait()
	return resp, nil
}

// commit proposes an encoded command once. Changes of targets, of which a fleet makes many at the
// same time, are forwarded together.
func (s *Server) commit(ctx context.Context, c reg.Command, encoded []byte) ([]byte, error) {
	n := s.replica()
	if c.Publish != nil {
		return n.Propose(ctx, encoded)
	}
	switch leader, ok := n.Leader(); {
	case !ok:
		return nil, verd.New(verd.NotRun, verd.Unavailable, "no leader of the control instances is known")
	case leader == s.PeerAddr:
		return n.ProposeLocal(ctx, encoded)
	default:
		return s.forwarder.propose(ctx, leader, encoded)
	}
}
