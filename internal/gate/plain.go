package gate

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// maxAnswer bounds the answer of a plain service in bytes: it is read whole
	// before the caller gets any of it.
	maxAnswer = 32 << 20
	// minTry is the least time that a further target is worth trying with.
	minTry = 20 * time.Millisecond
	// aimTries is how many wanted times a first target has for its answer before a
	// second is tried; minPatience is the least.
	aimTries    = 2
	minPatience = 100 * time.Millisecond
	// farCost is what a target in another data centre counts as, in requests in
	// progress: crossing costs bytes, queueing costs time.
	farCost = 0.5
)

// servePlain sends a request to a plain service.
func (x *exchange) servePlain(ctx context.Context) {
	// fallback is a failure of a target that is passed on if no other does better.
	var fallback *answer
	reason, retry := "no target takes requests", soon
	for x.left() > minTry && ctx.Err() == nil {
		t, ok := x.pick()
		if !ok {
			break
		}
		if x.sends > 0 && !x.mayRepeatNow() {
			break
		}
		a, o := x.send(ctx, t)
		switch o := o.(type) {
		case delivered:
			x.deliver(a)
			return
		case failedAnswer:
			fallback = a
			reason = "targets failed the request"
			x.ran = true
		case notRun:
			reason, retry = o.reason, later
		case unknown:
			reason = o.reason
			x.ran = true
		}
		x.avoid = append(x.avoid, t.ID)
		if x.ran && !x.route.MayRepeat() {
			break
		}
	}
	if fallback != nil && x.r.Context().Err() == nil {
		x.deliver(fallback)
		return
	}
	x.giveUp(ctx, reason, retry)
}

// mayRepeatNow says whether one more target may get the request.
func (x *exchange) mayRepeatNow() bool {
	if x.sends >= max(1, x.route.Attempts) {
		return false
	}
	if !x.server.Budget.take(x.pool.Name, int(x.server.others.Load())) {
		metrics.GetOrRegisterCounter("gate.repeats_refused", x.server.Metrics).Inc(1)
		return false
	}
	return true
}

// mayTryOther says whether a request that t does not answer may go to another
// target, and there is one.
func (x *exchange) mayTryOther(t site.Target) bool {
	if !x.route.MayRepeat() || x.sends+1 >= x.route.Attempts {
		return false
	}
	for _, o := range x.server.world.view().pools[x.pool.Name] {
		if o.ID != t.ID && !slices.Contains(x.avoid, o.ID) {
			return true
		}
	}
	return false
}

// pick chooses the target with the least in progress, those nearby first.
func (x *exchange) pick() (site.Target, bool) {
	v := x.server.world.view()
	var best site.Target
	score, found := 0.0, false
	for _, wantHealthy := range [...]bool{true, false} {
		for _, t := range v.pools[x.pool.Name] {
			if slices.Contains(x.avoid, t.ID) {
				continue
			}
			busy, out := x.server.health.state(t.ID)
			if out && wantHealthy {
				continue
			}
			c := float64(busy) + rand.Float64()/4
			if t.DataCentre != x.server.DataCentre {
				c += farCost
			}
			if !found || c < score {
				best, score, found = t, c, true
			}
		}
		if found {
			break
		}
	}
	return best, found
}

// outcome is what became of one send.
type outcome interface{ outcome() }

// delivered means that the answer is whole and good.
type delivered struct{}

// failedAnswer means that the target ran the request and answered a failure.
type failedAnswer struct{}

// notRun means that the request surely did not run.
type notRun struct{ reason string }

// unknown means that the request may have run.
type unknown struct{ reason string }

func (delivered) outcome()    {}
func (failedAnswer) outcome() {}
func (notRun) outcome()       {}
func (unknown) outcome()      {}

// answer is a whole answer of a target.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// send sends the request to one target and reads the whole answer.
func (x *exchange) send(ctx context.Context, t site.Target) (*answer, outcome) {
	s := x.server
	defer s.health.busy(t.ID)()
	x.target = t.ID
	q := x.request(t, Send{Urgency: -1})
	if x.mayTryOther(t) {
		// An answer that was lost is not worth the rest of the caller's time.
		q.HeadTimeout = min(max(aimTries*x.route.Aim, minPatience), x.left()/2)
	}
	resp, err := s.Targets.Do(ctx, t.Address, q)
	if err != nil {
		return nil, x.failed(t, err)
	}
	reuse := false
	defer func() { resp.Close(reuse) }()
	x.sends++
	if o := x.judge(t, resp); o != nil {
		_, ok := o.(notRun)
		reuse = ok && drained(resp)
		return nil, o
	}
	body, err := readAnswer(resp.Body)
	if err != nil {
		x.attemptFailed(t, "the answer broke off", err)
		return nil, unknown{"the answer of a target broke off"}
	}
	reuse = true
	a := &answer{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		return a, failedAnswer{}
	}
	s.health.worked(t.ID)
	return a, delivered{}
}

// errLargeAnswer says that an answer is too large to be read whole.
var errLargeAnswer = errors.New("the answer is too large")

// readAnswer reads a whole body. What is cut off must not look complete.
func readAnswer(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxAnswer+1))
	if err == nil && len(b) > maxAnswer {
		return nil, errLargeAnswer
	}
	return b, err
}

// drained reads what is left of a refusal, so that the connection can be kept.
func drained(resp *hop.Response) bool {
	const most = 64 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, most))
	return err == nil && n < most
}

// request makes what a target gets.
func (x *exchange) request(t site.Target, s Send) *hop.Request {
	s.Left, s.Target, s.Organisation = max(time.Millisecond, x.left()), t.ID, x.org
	d := x.server.Dialect
	id := x.call.ID
	return &hop.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: d.Send(x.r.Header, s), Body: x.body,
		Fresh: !x.route.MayRepeat(),
		Matches: func(h http.Header) bool {
			c := d.Reply(h).Call
			return c == "" || c == id
		},
	}
}

// failed classifies a send without the head of an answer.
func (x *exchange) failed(t site.Target, err error) outcome {
	x.server.health.failed(t.ID)
	var unreached *engine.Unreachable
	if errors.As(err, &unreached) {
		x.attemptFailed(t, "not reached", err)
		return notRun{"a target could not be reached"}
	}
	x.sends++
	x.attemptFailed(t, "no answer", err)
	return unknown{"a target broke off"}
}

// judge classifies the head of an answer; nil means that it is to be read.
func (x *exchange) judge(t site.Target, resp *hop.Response) outcome {
	reply := x.server.Dialect.Reply(resp.Header)
	code := resp.StatusCode
	switch {
	case reply.NotRun || code == http.StatusMisdirectedRequest:
		x.server.health.failed(t.ID)
		x.attemptFailed(t, "refused with "+http.StatusText(code), nil)
		return notRun{"targets refused the request"}
	case isPromise(code):
		// Without the target's word that it did not run, the status must not
		// reach the caller, who would take it for that.
		x.attemptFailed(t, "no promise with "+http.StatusText(code), nil)
		return unknown{"a target answered that it is busy"}
	case !reply.Sealed, resp.Header.Get("Content-Encoding") != "", reply.Call != x.call.ID:
		x.server.health.failed(t.ID)
		x.attemptFailed(t, "the answer is not a target's", nil)
		return unknown{"the answer of a target is spoilt"}
	}
	return nil
}

// isPromise says whether callers take a status for a promise that the request
// did not run.
func isPromise(code int) bool {
	switch code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// attemptFailed logs one failed send.
func (x *exchange) attemptFailed(t site.Target, what string, err error) {
	x.server.Log.Warn().Str("id", x.call.ID).Str("ask", x.grant).Str("target", t.ID).Str("address", t.Address).Int("sends", x.sends).
		Dur("after", time.Since(x.start)).Str("what", what).Err(err).Msg("send failed")
}

// deliver passes a whole answer on.
func (x *exchange) deliver(a *answer) {
	h := x.w.Header()
	for k, v := range x.server.Dialect.Answer(a.header) {
		h[k] = v
	}
	x.status = a.status
	h.Del("Transfer-Encoding")
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(a.status)
	// The caller's connection tells it if this fails.
	_, _ = io.Copy(x.w, bytes.NewReader(a.body))
}
