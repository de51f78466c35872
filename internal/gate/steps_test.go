package gate

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"
)

// eventsAt returns the events with these IDs.
func eventsAt(ids ...int) string {
	var b strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&b, "id: %d\ndata: e\n\n", id)
	}
	return b.String()
}

// TestIDsNeedNotBeConsecutive guards against streams of sound targets that are cut after the first event, as their IDs increase by
// more than one. In a continuation an event is missing only where the IDs so far show it.
func TestIDsNeedNotBeConsecutive(t *testing.T) {
	for name, c := range map[string]struct {
		// first is what the first target sends, which then breaks off if second is set.
		first, second string
		want          string
		truncated     bool
	}{
		"tokens":                  {first: eventsAt(34, 68, 102), want: eventsAt(34, 68, 102)},
		"tokens from 1 on":        {first: eventsAt(1, 35, 69), want: eventsAt(1, 35, 69)},
		"a gap in a response":     {first: eventsAt(1, 2, 4, 5), want: eventsAt(1, 2, 4, 5)},
		"tokens, resumed":         {first: eventsAt(34, 68), second: eventsAt(102, 136), want: eventsAt(34, 68, 102, 136)},
		"one event, resumed":      {first: eventsAt(34), second: eventsAt(68, 102), want: eventsAt(34, 68, 102)},
		"resumed anew":            {first: eventsAt(34, 68), second: eventsAt(34, 68, 102), want: eventsAt(34, 68, 102)},
		"goes back":               {first: eventsAt(34, 68), second: eventsAt(34, 68), want: eventsAt(34, 68)},
		"consecutive, resumed":    {first: eventsAt(1, 2), second: eventsAt(3, 4), want: eventsAt(1, 2, 3, 4)},
		"consecutive, one lacks":  {first: eventsAt(1, 2), second: eventsAt(4, 5), want: eventsAt(1, 2), truncated: true},
		"counted, one lacks":      {first: eventsAt(1), second: eventsAt(3), want: eventsAt(1), truncated: true},
		"from 7 on, one lacks":    {first: eventsAt(7, 8), second: eventsAt(10), want: eventsAt(7, 8), truncated: true},
		"later gap, consecutive":  {first: eventsAt(7, 8), second: eventsAt(9, 20), want: eventsAt(7, 8, 9, 20)},
		"tokens, then one by one": {first: eventsAt(34, 68), second: eventsAt(69, 70), want: eventsAt(34, 68, 69, 70)},
	} {
		for _, path := range []string{resumableStreamPath, serviceStreamPath} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newPathTestbed(t, path)
					s.addFailingFirst(path, chunkedAnswer(c.second != "", 200, streamHeaders, c.first), chunkedAnswer(false, 200, streamHeaders, c.second))
					res := s.call(path, "prompt")
					quicktest.Check(t, res.body, quicktest.Equals, c.want)
					quicktest.Check(t, res.truncated, quicktest.Equals, c.truncated)
				})
			})
		}
	}
}
