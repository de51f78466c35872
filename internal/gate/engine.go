package gate

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// callerGap, aimGaps and pauseGaps say when a caller of a stream gives up:
	// after the longest of callerGap, so many wanted times to the first event and
	// so many wanted pauses.
	callerGap = 2 * time.Second
	aimGaps   = 4
	pauseGaps = 8
	// firstShare is the part of the caller's patience that an engine has for the
	// first event before another is tried, and at least expectTries of the time
	// that was predicted.
	firstShare  = 0.4
	expectTries = 4
	// moveShare is the part of the caller's patience for which an engine may be
	// silent in the middle of an answer before the answer goes on at another one.
	moveShare = 0.8
	// maxRefusals bounds the engines that refuse one request.
	maxRefusals = 4
)

// stream is the answer of an engine on its way to the caller.
type stream struct {
	*exchange
	// begun says that the caller has the head of the answer.
	begun bool
	// last is the number of the last event that the caller has, if any.
	last    int64
	has     bool
	refused int
}

// serveEngine sends a request to engines and carries the events back.
func (x *exchange) serveEngine(ctx context.Context) {
	s := &stream{exchange: x, last: x.call.Last, has: x.call.Resumes}
	reason, retry := "no engine was free in time", later
	x.server.broker.awaitLink(ctx)
	for ctx.Err() == nil && x.left() > minTry && s.refused < maxRefusals {
		if x.sends > 0 && (!x.mayRepeatNow() || x.ran && !x.route.MayRepeat()) {
			break
		}
		g, err := x.server.broker.get(ctx, s.ask())
		if err != nil {
			var r *refusal
			if errors.As(err, &r) {
				reason, retry = r.Reason, r.Retry
			}
			break
		}
		x.waited += g.Waited
		done, why := s.run(ctx, g)
		if done {
			return
		}
		reason = why
	}
	if s.begun {
		x.reason = reason
		x.abort()
	}
	x.giveUp(ctx, reason, retry)
}

// ask makes the question to the scheduler.
func (s *stream) ask() place.Ask {
	age := time.Since(s.start)
	a := place.Ask{
		ID: s.server.broker.newID(), Pool: s.pool.Name, Prompt: s.call.Prompt, Output: s.call.Output,
		Aim: s.route.Aim - age, Whole: s.route.Aim, Pause: s.route.Pause, Left: s.patience() - age, Rank: s.rank,
		DataCentre: s.server.DataCentre, Avoid: s.avoid, Gap: s.gap(), Resumed: s.begun,
	}
	s.grant = a.ID
	if s.call.Guess > 0 {
		a.Output = min(a.Output, s.call.Guess)
	}
	if s.begun {
		// The answer has a gap already: it goes on as soon as that is possible.
		a.Aim, a.Left = 0, min(s.left(), s.gap())
	}
	return a
}

// patience is how long the caller waits for the first event.
func (s *stream) patience() time.Duration { return min(s.gap(), s.deadline.Sub(s.start)) }

// gap is how long the caller waits for the next event.
func (s *stream) gap() time.Duration {
	return max(callerGap, aimGaps*s.route.Aim, pauseGaps*s.route.Pause)
}

// run sends the request to the engines of a grant. It returns whether the caller
// has been answered, and why not.
func (s *stream) run(ctx context.Context, g place.Grant) (done bool, reason string) {
	end := place.End{ID: g.ID}
	defer func() { s.server.broker.end(end) }()
	lead, helpers, ok := s.resolve(g)
	if !ok {
		s.refused++
		return false, "the engine has left"
	}
	s.target, s.parts, s.expect = lead.ID, len(helpers)+1, g.Expect
	held, err := s.server.reserve(ctx, s.call.ID, helpers)
	if err != nil {
		s.refused++
		return false, "engines have no memory for the prompt"
	}
	defer held.release()
	return s.exchangeWith(ctx, g, lead, helpers, &end)
}

// exchangeWith sends the request to the lead and passes on what it answers.
func (s *stream) exchangeWith(ctx context.Context, g place.Grant, lead site.Target, helpers []Helper, end *place.End) (done bool, reason string) {
	defer s.server.health.busy(lead.ID)()
	c := carriage{ask: g.ID, sent: time.Now(), other: s.mayTryOther(lead)}
	q := s.request(lead, Send{Urgency: g.Urgency, Helpers: helpers, Last: s.last, Resumes: s.has})
	q.HeadTimeout = time.Until(s.silence(true, c.other))
	resp, err := s.server.Targets.Do(ctx, lead.Address, q)
	if err != nil {
		return s.unanswered(ctx, lead, err, end)
	}
	reuse := false
	defer func() { resp.Close(reuse) }()
	s.sends++
	if o := s.judge(lead, resp); o != nil {
		end.Fault = s.blame(lead, resp)
		_, refused := o.(notRun)
		reuse = refused && drained(resp)
		return s.missed(lead, o)
	}
	if resp.StatusCode != http.StatusOK {
		return s.passFailure(lead, resp, end)
	}
	if reason = s.carry(ctx, resp, c); reason == "" {
		reuse = true
		s.server.health.worked(lead.ID)
		return true, ""
	}
	s.ran = true
	if ctx.Err() == nil {
		end.Fault = lead.ID
		s.avoid = append(s.avoid, lead.ID)
		s.attemptFailed(lead, reason, nil)
	}
	return false, reason
}

// unanswered notes a send without the head of an answer.
func (s *stream) unanswered(ctx context.Context, lead site.Target, err error, end *place.End) (done bool, reason string) {
	if ctx.Err() != nil {
		s.sends++
		s.ran = true
		return false, s.whyOver()
	}
	var unreached *engine.Unreachable
	end.Fault, end.Hard = lead.ID, errors.As(err, &unreached)
	return s.missed(lead, s.failed(lead, err))
}

// resolve finds the engines of a grant in the newest view: one that leaves gets
// nothing, whoever granted it.
func (s *stream) resolve(g place.Grant) (lead site.Target, helpers []Helper, ok bool) {
	v := s.server.world.view()
	lead, ok = v.takes(g.Lead, s.pool.Name)
	if !ok {
		s.avoid = append(s.avoid, g.Lead)
		return lead, nil, false
	}
	for i, id := range g.Helpers {
		t, ok := v.takes(id, s.pool.Name)
		if !ok {
			s.avoid = append(s.avoid, id)
			return lead, nil, false
		}
		h := Helper{Target: t}
		if i < len(g.Memory) && g.Memory[i] > 0 {
			h.Tokens, h.Ticket = g.Memory[i], fmt.Sprintf("%s-%d", strings.ReplaceAll(g.ID, "/", "-"), i)
		}
		helpers = append(helpers, h)
	}
	return lead, helpers, true
}

// missed notes a send that gave nothing.
func (s *stream) missed(lead site.Target, o outcome) (done bool, reason string) {
	switch o := o.(type) {
	case notRun:
		reason = o.reason
		s.refused++
	case unknown:
		reason = o.reason
		s.ran = true
	}
	s.avoid = append(s.avoid, lead.ID)
	return false, reason
}

// blame returns the ID of the engine that a refusal names, or that of the lead.
func (s *stream) blame(lead site.Target, resp *hop.Response) string {
	fault := s.server.Dialect.Reply(resp.Header).Fault
	if fault == "" || fault == lead.Address {
		return lead.ID
	}
	for _, t := range s.server.world.view().pools[s.pool.Name] {
		if t.Address == fault {
			s.avoid = append(s.avoid, t.ID)
			return t.ID
		}
	}
	return ""
}

// passFailure passes on an engine's own failure, or lets another engine try.
func (s *stream) passFailure(lead site.Target, resp *hop.Response, end *place.End) (done bool, reason string) {
	body, err := readAnswer(resp.Body)
	s.ran = true
	end.Fault = lead.ID
	if err != nil || s.begun || resp.StatusCode >= http.StatusInternalServerError && s.route.MayRepeat() {
		s.avoid = append(s.avoid, lead.ID)
		s.attemptFailed(lead, "failed with "+http.StatusText(resp.StatusCode), err)
		return false, "an engine failed the request"
	}
	s.deliver(&answer{status: resp.StatusCode, header: resp.Header, body: body})
	return true, ""
}

// carriage is what is known of one send while its events come.
type carriage struct {
	ask  string
	sent time.Time
	// other says that another engine may be tried.
	other bool
}

// carry passes the events of an answer on. It returns why the answer broke off,
// or "" at its end.
func (s *stream) carry(ctx context.Context, resp *hop.Response, c carriage) (reason string) {
	events := hop.NewEvents(resp.Body)
	for count := 0; ; count++ {
		resp.SetReadDeadline(s.silence(count == 0, c.other))
		ev, err := events.Next()
		switch {
		case errors.Is(err, io.EOF):
			if !s.begun {
				s.head(resp)
			}
			return ""
		case err != nil && ctx.Err() != nil:
			return s.whyOver()
		case err != nil:
			return "the events of an engine broke off: " + err.Error()
		}
		if count == 0 {
			s.server.broker.begun(c.ask, time.Since(c.sent))
		}
		if reason := s.pass(resp, ev); reason != "" {
			return reason
		}
		if ctx.Err() != nil {
			return s.whyOver()
		}
	}
}

// pass passes one event on, unless the caller has it. It returns why that can't
// be, or "".
func (s *stream) pass(resp *hop.Response, ev hop.Event) (reason string) {
	if ev.HasID && s.has {
		if ev.ID <= s.last {
			return ""
		}
		if s.events > 0 && ev.ID != s.last+1 {
			return "an event is missing"
		}
	}
	if !s.begun {
		s.head(resp)
		s.first = time.Since(s.start)
	}
	if ev.HasID {
		s.last, s.has = ev.ID, true
	}
	if s.events > 0 {
		s.pause = max(s.pause, time.Since(s.passed))
	}
	s.passed = time.Now()
	s.events++
	if _, err := s.w.Write(ev.Raw); err != nil {
		return "the caller left"
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return "the caller left"
	}
	return ""
}

// silence is until when an engine may say nothing. In the middle of an answer that
// is a reason to go on at another one, but none to end the answer where no other may
// be tried: the caller decides how long it waits.
func (s *stream) silence(first, other bool) time.Time {
	switch {
	case first && other:
		return time.Now().Add(min(s.gap(), max(time.Duration(firstShare*float64(s.gap())), expectTries*s.expect)))
	case first:
		return time.Now().Add(s.gap())
	case other && s.server.Budget.has(s.pool.Name, int(s.server.others.Load())):
		return time.Now().Add(time.Duration(moveShare * float64(s.gap())))
	}
	return s.deadline
}

// head passes on the head of the answer.
func (s *stream) head(resp *hop.Response) {
	s.begun = true
	s.status = resp.StatusCode
	h := s.w.Header()
	for k, v := range s.server.Dialect.Answer(resp.Header) {
		h[k] = v
	}
	s.w.WriteHeader(resp.StatusCode)
}
