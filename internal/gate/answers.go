package gate

import (
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/place"
	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// maxAnswerKinds bounds the kinds of requests whose answers are measured.
	maxAnswerKinds = 1000
	// lastAnswers is how many answers of a kind count.
	lastAnswers = 16
	// expectedMargin is the factor that an expected time has to spare. The fewer answers were measured, the likelier is a
	// slower one: scarceMargin, divided by their number, is added to the factor.
	expectedMargin, scarceMargin = 1.1, 0.5
)

// answerKind is a kind of requests whose answers take like times.
type answerKind struct {
	pool string
	kind site.Kind
	aim  time.Duration
}

// kind returns the kind of the request. Its pool must be known.
func (x *exchange) kind() answerKind {
	return answerKind{pool: x.pool.Name, kind: x.route.Kind, aim: x.route.Aim}
}

// answer is what was measured of an answer.
type answer struct {
	// took is the time that its target took from the send to the last byte, without the time in which the caller didn't read.
	took time.Duration
	// reading is the ratio of the time to the first event to the one that was predicted, and writing that of the time from
	// there to the last event to the one that an engine takes without other load; 0 if unknown.
	reading, writing float64
}

// slower returns the slower one of each part of two answers.
func (a answer) slower(b answer) answer {
	return answer{max(a.took, b.took), max(a.reading, b.reading), max(a.writing, b.writing)}
}

// answerTimes holds the last whole answers of targets.
type answerTimes struct {
	mu     sync.Mutex
	byKind map[answerKind]*answerRing
}

// answerRing is a ring of answers.
type answerRing struct {
	last  [lastAnswers]answer
	count int
}

// add adds an answer.
func (t *answerTimes) add(k answerKind, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byKind[k]
	if r == nil {
		if t.byKind == nil || len(t.byKind) >= maxAnswerKinds {
			t.byKind = make(map[answerKind]*answerRing)
		}
		r = &answerRing{}
		t.byKind[k] = r
	}
	r.last[r.count%lastAnswers] = a
	r.count++
}

// expected returns the slowest answer of a kind that is expected. It returns false if none was measured.
func (t *answerTimes) expected(k answerKind) (answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.byKind[k]
	if r == nil {
		return answer{}, false
	}
	n := min(r.count, lastAnswers)
	var slowest answer
	for _, a := range r.last[:n] {
		slowest = slowest.slower(a)
	}
	margin := expectedMargin + scarceMargin/float64(n)
	return answer{scale(slowest.took, margin), max(1, slowest.reading) * margin, slowest.writing * margin}, true
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// measure returns what is known of a whole answer that began with an attempt.
func (s *stream) measure(att *streamAttempt) answer {
	g := att.grant
	a := answer{took: time.Since(att.sentAt) - att.blocked}
	if att.firstEventAt.IsZero() || !s.hasEvents() {
		return a
	}
	first := att.firstEventAt.Sub(att.sentAt)
	if g.PredictedTTFT > 0 {
		a.reading = float64(first) / float64(g.PredictedTTFT)
	}
	if alone := s.writeTime(g); alone > 0 {
		a.writing = float64(a.took-first) / float64(alone)
	}
	return a
}

// writeTime returns the time in which the engines of a grant write the longest answer without other load; 0 if the request
// doesn't limit it.
func (s *stream) writeTime(g place.Grant) time.Duration {
	if s.call.MaxOutputTokens <= 0 || s.pool.Engine == nil {
		return 0
	}
	return place.WriteTime(*s.pool.Engine, s.call.PromptTokens/(len(g.Helpers)+1), s.call.MaxOutputTokens)
}

// expectedTimeWith returns the time in which the engines of a grant are expected to answer. It returns false if there is nothing
// to go by. Requests of one kind may differ in size by orders of magnitude, so the time of others alone is no bound.
func (s *stream) expectedTimeWith(g place.Grant) (need time.Duration, known bool) {
	a, known := s.server.answers.expected(s.kind())
	return max(a.took, scale(g.PredictedTTFT, a.reading)+scale(s.writeTime(g), a.writing)), known
}
