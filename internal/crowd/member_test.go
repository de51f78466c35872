package crowd

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// rejoinPause is how long a member of a crowd whose connection was closed waits before its next one.
	rejoinPause = time.Second
	// arrivalTime bounds the wait for members whose bytes are not taken.
	arrivalTime = 2 * time.Second
	// settleTime is how long a crowd acts before anything is checked.
	settleTime = time.Second
	// trickleInterval is the pause between two bytes of a member that sends or reads slowly.
	trickleInterval = 200 * time.Millisecond
)

// member sends what member i of a crowd sends on a new connection. It returns when there is nothing more to
// send, and the connection then stays open.
type member func(ctx context.Context, c net.Conn, i int) error

// startCrowd connects size members to an address, and waits until each has sent what it can. The members stay
// until the end of the test: one whose connection is closed opens another one.
func startCrowd(t *testing.T, size int, address string, send member) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var all, arrivals sync.WaitGroup
	for i := range size {
		arrivals.Add(1)
		arrive := sync.OnceFunc(arrivals.Done)
		all.Go(func() {
			defer arrive()
			for ctx.Err() == nil {
				join(ctx, address, i, send, arrive)
				sleep(ctx, rejoinPause)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		all.Wait()
	})
	arrived := make(chan struct{})
	go func() {
		arrivals.Wait()
		close(arrived)
	}()
	select {
	case <-arrived:
	case <-time.After(arrivalTime):
	}
	time.Sleep(settleTime)
}

// join opens a connection, sends, and keeps the connection until the other side or ctx ends it. It reads nothing.
func join(ctx context.Context, address string, i int, send member, arrive func()) {
	d := net.Dialer{Timeout: patience}
	c, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	if send(ctx, c, i) != nil {
		return
	}
	arrive()
	awaitClose(ctx, c)
}

// awaitClose waits until the other side has closed the connection. It reads nothing before that.
func awaitClose(ctx context.Context, c net.Conn) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		closed := false
		if err := raw.Control(func(fd uintptr) { closed = isClosed(int(fd)) }); err != nil || closed {
			return
		}
		sleep(ctx, trickleInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
