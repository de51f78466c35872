package entry

import (
	"bytes"
	"context"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// cancelTimeout bounds a call that cancels a request at an engine.
	cancelTimeout = 2 * time.Second
	// maxAttempts bounds the grants that one request may use.
	maxAttempts = 4
	// maxResumes bounds the consecutive resumptions of a stream without a new token.
	maxResumes = 3
)

// inference runs one model request. It resumes broken streams and fails over to other
// engines until the caller has the whole response.
type inference struct {
	x      *exchange
	rt     *table.Route
	req    *prompt.Request
	body   []byte
	writer *completionWriter

	// grant is the grant in use, or nil before one is acquired.
	grant *activeGrant
	// excluded names the targets that failed this request.
	excluded []string
	// attempt is the number of grants that were released after a failure.
	attempt int
	// sent means that the engine may have received the request under this grant.
	// missing means that the engine reported the request as unknown, so it is sent once
	// more.
	sent, missing bool
	// sentAt is when the request was last sent under this grant.
	sentAt time.Time
	// resumes counts the resumptions since the last new token.
	resumes int
	// verdict is the joint verdict of the failed attempts.
	verdict verd.Verdict
}

// run relays the response until it is complete or no further attempt is possible.
func (inf *inference) run() error {
	inf.verdict = verd.NotRun
	for {
		if inf.grant == nil {
			g, err := inf.x.acquireGrant(inf.rt, inf.req, inf.attempt, inf.excluded)
			if err != nil {
				return inf.joinVerdicts(err)
			}
			inf.grant = g
		}
		offset := inf.writer.nextOffset
		err := inf.stream()
		if err == nil {
			inf.x.s.release(inf.grant, false)
			inf.x.s.retryBudget.recordSuccess()
			return nil
		}
		if inf.writer.nextOffset > offset {
			inf.resumes = 0
		}
		inf.verdict = inf.verdict.Join(verd.From(err).Verdict)
		if !inf.prepareRetry(err) {
			inf.releaseGrant(inf.x.ctx.Err() == nil)
			return inf.joinVerdicts(err)
		}
	}
}

// stream opens one stream and relays it to the caller.
func (inf *inference) stream() error {
	target := inf.grant.primary()
	ctx, span := inf.x.s.Tracer.Start(inf.x.ctx, "target", trace.WithAttributes(attribute.String("target", target.Name)))
	defer span.End()
	st, err := inf.open(ctx)
	if err != nil {
		span.RecordError(err)
		return err
	}
	defer st.Close()
	if err := inf.writer.relay(&progressStream{Stream: st, grant: inf.grant, sentAt: inf.sentAt, onFirstToken: inf.x.s.reportFirstToken}); err != nil {
		span.RecordError(err)
		return err
	}
	return nil
}

// open sends the request to the engine, or resumes its stream if it was sent before.
func (inf *inference) open(ctx context.Context) (engine.Stream, error) {
	g, target := inf.grant, inf.grant.primary()
	if inf.sent {
		return inf.x.s.Engine.Resume(ctx, target.Addr, inf.x.id, inf.writer.nextOffset)
	}
	inf.sentAt = time.Now()
	st, err := inf.x.s.Engine.Generate(ctx, target.Addr, engine.Generate{
		ID:           inf.x.id,
		Grant:        g.grant.ID,
		Epoch:        g.grant.Epoch,
		Priority:     g.grant.Priority,
		Body:         bytes.NewReader(inf.body),
		Size:         int64(len(inf.body)),
		Path:         inf.x.r.URL.Path,
		PromptTokens: inf.req.Tokens,
		MaxTokens:    inf.req.Output,
		Prior:        inf.writer.text.String(),
		Offset:       inf.writer.nextOffset,
		Peers:        g.peers(),
		UseBy:        g.useBy,
		Fresh:        inf.missing,
	})
	inf.sent = err == nil || verd.From(err).Verdict != verd.NotRun
	return st, err
}

// prepareRetry chooses how to go on after err: resume the stream, send the request to the
// same engine again, or fail over. It returns false if the request must fail.
func (inf *inference) prepareRetry(err error) bool {
	if inf.x.ctx.Err() != nil {
		return false
	}
	switch engine.FailureOf(err).(type) {
	case *engine.Silent, *engine.Broken, *engine.Garbled:
		inf.resumes++
		if inf.resumes <= maxResumes {
			inf.x.s.counter("resumes").Inc(1)
			return true
		}
		return inf.failOver()
	case *engine.Missing:
		if !inf.missing && time.Now().Before(inf.grant.useBy) {
			inf.missing, inf.sent = true, false
			return true
		}
		return inf.failOver()
	case *engine.Unreachable, *engine.Refused, *engine.Aborted:
		return inf.failOver()
	default:
		return false
	}
}

// failOver releases the grant so that the next attempt uses another engine. It returns
// false if the attempts or the retry budget are used up.
func (inf *inference) failOver() bool {
	if inf.attempt+1 >= maxAttempts || !inf.x.s.retryBudget.takeRetry() {
		return false
	}
	inf.x.s.counter("moves").Inc(1)
	if name := inf.grant.primary().Name; !slices.Contains(inf.excluded, name) {
		inf.excluded = append(inf.excluded, name)
	}
	inf.releaseGrant(true)
	inf.grant, inf.sent, inf.missing, inf.resumes = nil, false, false, 0
	inf.attempt++
	return true
}

// releaseGrant cancels the request at its engines if it was sent, and releases the grant.
func (inf *inference) releaseGrant(failed bool) {
	if inf.sent {
		inf.x.s.cancel(inf.grant)
	}
	inf.x.s.release(inf.grant, failed)
}

// joinVerdicts returns err with the joint verdict of all attempts, for the caller.
func (inf *inference) joinVerdicts(err error) error {
	e := *verd.From(err)
	e.Verdict = e.Verdict.Join(inf.verdict)
	if inf.writer.nextOffset > 0 {
		e.Verdict = verd.Ran
	}
	return &e
}

// progressStream is a stream that records its progress in the grant.
type progressStream struct {
	engine.Stream
	grant  *activeGrant
	sentAt time.Time
	// onFirstToken is called once, when the first chunk has arrived.
	onFirstToken func(*activeGrant)
}

// Next returns the next chunk and records the progress that it shows.
func (s *progressStream) Next() (engine.Chunk, error) {
	c, err := s.Stream.Next()
	if err != nil || c.Heartbeat() {
		return c, err
	}
	first := false
	s.grant.updateProgress(func(p *policy.Progress) {
		if p.First == 0 {
			first = true
			p.First = time.Since(s.sentAt)
		}
		p.Generated = max(p.Generated, c.Offset+c.Tokens)
		if c.Usage != nil {
			p.Reused = c.Usage.Reused
		}
	})
	if first {
		s.onFirstToken(s.grant)
	}
	return c, err
}
