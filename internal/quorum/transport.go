package quorum

import (
	"context"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/wire"
)

const (
	// maxQueuedMessages bounds the messages that wait to be sent to one replica.
	maxQueuedMessages = 512
	// maxLearned bounds the addresses of replicas that are not in the configuration, and maxSenders the
	// senders from which on none is started for such a replica.
	maxLearned = 256
	maxSenders = 256
	// maxBatchBytes is the size after which a batch is closed, below the frame limit of
	// package wire.
	maxBatchBytes = 1 << 20
)

// Batch carries messages to one replica.
type Batch struct {
	// Addr is the sender's peer address, GroupID its group or 0 before it has one.
	Addr     string    `cbor:"1,keyasint"`
	GroupID  uint64    `cbor:"2,keyasint,omitempty"`
	Messages []Message `cbor:"3,keyasint"`
}

// Empty is the reply of a call that returns nothing.
type Empty struct{}

// transport sends messages to the other replicas, with one goroutine per address.
type transport struct {
	ctx   context.Context
	calls wire.Caller
	// callTimeout bounds a call, so that an unresponsive connection is abandoned soon.
	callTimeout time.Duration
	self        string

	wg      sync.WaitGroup
	senders map[string]*sender
}

// sender queues and sends the messages to one address.
type sender struct {
	mu       sync.Mutex
	queue    []Message
	groupID  uint64
	inFlight bool
	wake     chan struct{}
}

// send queues messages for their receivers. Messages to a full queue or an unknown
// address are dropped; the Core repeats those that matter.
func (n *Node) send(ms []Message) {
	group := n.core.Status().Config.GroupID
	for _, m := range ms {
		addr := n.replicaAddr(m.To)
		if addr == "" {
			continue
		}
		_, isMember := n.core.Status().Config.Find(m.To)
		if s := n.transport.sender(addr, isMember); s != nil {
			s.enqueue(m, group)
		}
	}
}

// sender returns the sender for an address, and starts it if there is none. It returns nil if there are too
// many for one to an address that anybody may have named.
func (t *transport) sender(addr string, isMember bool) *sender {
	s := t.senders[addr]
	if s == nil && !isMember && len(t.senders) >= maxSenders {
		return nil
	}
	if s == nil {
		s = &sender{wake: make(chan struct{}, 1)}
		t.senders[addr] = s
		t.wg.Go(func() { t.run(addr, s) })
	}
	return s
}

func (t *transport) run(addr string, s *sender) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-s.wake:
		}
		for b := s.nextBatch(); len(b.Messages) > 0; b = s.nextBatch() {
			b.Addr = t.self
			ctx, cancel := context.WithTimeout(t.ctx, t.callTimeout)
			// Like single messages, a batch may be lost; the Core repeats what matters.
			_ = t.calls.Call(ctx, addr, stepMethod, &b, &Empty{})
			cancel()
		}
	}
}

func (t *transport) wait() { t.wg.Wait() }

// drain waits until all queues are empty, or at most timeout.
func (t *transport) drain(timeout time.Duration) {
	const pollInterval = 5 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		idle := true
		for _, s := range t.senders {
			idle = idle && s.idle()
		}
		if idle {
			return
		}
	}
}

func (s *sender) enqueue(m Message, group uint64) {
	s.mu.Lock()
	if len(s.queue) < maxQueuedMessages {
		s.queue = append(s.queue, m)
		s.groupID = group
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// nextBatch removes and returns the next batch; a batch without messages means that the
// queue is empty.
func (s *sender) nextBatch() Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	size, count := 0, 0
	for count < len(s.queue) && (count == 0 || size < maxBatchBytes) {
		size += messageSize(s.queue[count])
		count++
	}
	b := Batch{GroupID: s.groupID, Messages: s.queue[:count:count]}
	s.queue = s.queue[count:]
	s.inFlight = count > 0
	return b
}

func (s *sender) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue) == 0 && !s.inFlight
}

// size estimates the encoded size of a batch in bytes.
func (b *Batch) size() int {
	size := 0
	for _, m := range b.Messages {
		size += messageSize(m)
	}
	return size
}

// messageSize estimates the encoded size of a message in bytes.
func messageSize(m Message) int {
	size := entryOverheadBytes
	switch b := m.Body.(type) {
	case Append:
		for _, e := range b.Entries {
			size += entryOverheadBytes + len(e.Data)
		}
	case SnapshotChunk:
		size += len(b.Data)
	}
	return size
}
