package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// reserveHold is how long memory is set aside without being renewed: it ends by
	// itself when this process dies, within the 4 s that engines allow. It is also
	// below the 9 s that they allow unused memory, so that an order that
	// is carried out late does no harm.
	reserveHold = 3500 * time.Millisecond
	// renewAfter is when memory in use is set aside for longer.
	renewAfter = 1200 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order.
	orderTimeout = 400 * time.Millisecond
	// releaseTries is how often a release is sent until it is answered, each after
	// a pause of releasePause; then the memory's own time ends it.
	releaseTries = 4
	releasePause = 500 * time.Millisecond
)

// errNoMemory says that an engine did not set memory aside.
var errNoMemory = errors.New("an engine has no memory free")

// tickets are the memory that was set aside for one request.
type tickets struct {
	server *Server
	id     string
	list   []Helper
	// stop ends the renewal, which closes done when none is under way.
	stop, done chan struct{}
}

// reserve sets memory aside on all helpers that are to keep a part of the
// prompt. All or none are held when it returns.
func (s *Server) reserve(ctx context.Context, id string, helpers []Helper) (*tickets, error) {
	t := &tickets{server: s, id: id, stop: make(chan struct{}), done: make(chan struct{})}
	for _, h := range helpers {
		if h.Ticket != "" {
			t.list = append(t.list, h)
		}
	}
	if len(t.list) == 0 {
		close(t.done)
		return t, nil
	}
	if err := t.all(ctx, reserveHold); err != nil {
		close(t.done)
		t.release()
		return nil, err
	}
	go t.renew(context.WithoutCancel(ctx))
	return t, nil
}

// all orders every helper at once.
func (t *tickets) all(ctx context.Context, hold time.Duration) error {
	var wg sync.WaitGroup
	errs := make([]error, len(t.list))
	for i, h := range t.list {
		wg.Go(func() { errs[i] = t.order(ctx, h, hold) })
	}
	wg.Wait()
	var out error
	for _, err := range errs {
		out = errors.CombineErrors(out, err)
	}
	return out
}

// order sets memory aside on one helper.
func (t *tickets) order(ctx context.Context, h Helper, hold time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := t.server.Targets.Do(ctx, h.Target.Address, t.server.Dialect.Reserve(h, hold))
	status := 0
	if err == nil {
		status = resp.StatusCode
		resp.Close(drained(resp))
		if status != http.StatusOK {
			err = errNoMemory
		}
	}
	t.server.Log.Info().Str("id", t.id).Str("target", h.Target.ID).Str("ticket", h.Ticket).Int("tokens", h.Tokens).
		Dur("hold", hold).Int("status", status).Err(err).Msg("memory set aside")
	return err
}

// renew keeps the memory until the request ends.
func (t *tickets) renew(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(renewAfter)
	defer tick.Stop()
	for {
		select {
		case <-t.stop:
			return
		case <-tick.C:
		}
		if err := t.all(ctx, reserveHold); err != nil {
			t.server.Log.Warn().Str("id", t.id).Err(err).Msg("memory not kept longer")
		}
	}
}

// release ends what was set aside, in the background. It waits for a renewal
// under way, which would set the memory aside again if it came later.
func (t *tickets) release() {
	close(t.stop)
	for _, h := range t.list {
		go func() {
			<-t.done
			t.releaseOne(h)
		}()
	}
}

func (t *tickets) releaseOne(h Helper) {
	for try := range releaseTries {
		time.Sleep(time.Duration(try) * releasePause)
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		resp, err := t.server.Targets.Do(ctx, h.Target.Address, t.server.Dialect.Release(h))
		status := 0
		if err == nil {
			status = resp.StatusCode
			resp.Close(drained(resp))
		}
		cancel()
		t.server.Log.Info().Str("id", t.id).Str("target", h.Target.ID).Str("ticket", h.Ticket).Int("status", status).
			Int("try", try+1).Err(err).Msg("memory given back")
		if err == nil && status < http.StatusInternalServerError {
			return
		}
	}
}
