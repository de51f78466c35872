package gate

import (
	"slices"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

const (
	// maxAnswerKinds bounds the kinds of requests whose answers are measured.
	maxAnswerKinds = 1000
	// lastAnswers is how many answers of a kind count.
	lastAnswers = 16
	// expectedShare of the last answers ended in the expected time, which has expectedMargin to spare.
	expectedShare, expectedMargin = 0.9, 1.1
)

// answerKind is a kind of requests whose answers take like times.
type answerKind struct {
	pool string
	kind site.Kind
	aim  time.Duration
}

func kindOf(r *site.Route) answerKind {
	k := answerKind{kind: r.Kind, aim: r.Aim}
	if len(r.Split) > 0 {
		k.pool = r.Split[0].Pool
	}
	return k
}

// answerTimes are the times that targets took for their last whole answers, from the send to the last byte, without the time
// in which callers didn't read.
type answerTimes struct {
	mu     sync.Mutex
	byKind map[answerKind]*answerTime
}

// answerTime is a ring of times.
type answerTime struct {
	last  [lastAnswers]time.Duration
	count int
}

// add adds the time of an answer.
func (a *answerTimes) add(k answerKind, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.byKind[k]
	if t == nil {
		if a.byKind == nil || len(a.byKind) >= maxAnswerKinds {
			a.byKind = make(map[answerKind]*answerTime)
		}
		t = &answerTime{}
		a.byKind[k] = t
	}
	t.last[t.count%lastAnswers] = took
	t.count++
}

// expected returns the time in which most answers of a kind end. It returns false if there was none.
func (a *answerTimes) expected(k answerKind) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.byKind[k]
	if t == nil {
		return 0, false
	}
	last := t.last
	n := min(t.count, lastAnswers)
	slices.Sort(last[:n])
	return time.Duration(expectedMargin * float64(last[int(expectedShare*float64(n))])), true
}
