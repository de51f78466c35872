package inst

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/internal/member"
)

// response is what the caller of a completion received.
type response struct {
	status  int
	id      string
	verdict string
	text    string
	// complete reports that the event [DONE] arrived.
	complete bool
	// errMsg is the message of an error, in the body of a refusal or in the stream, or of
	// a broken connection.
	errMsg  string
	tokens  int
	elapsed time.Duration
}

// event is one event of a streamed completion: a chunk or an error.
type event struct {
	Choices []struct{ Text string }
	Usage   *struct {
		Completion int `json:"completion_tokens"`
	}
	Error *struct {
		Message string
		Verdict string
	}
}

// streamCompletion sends a prompt of promptBytes to instance n and reads the streamed
// answer of the given number of tokens to its end. The caller disconnects when ctx ends.
func (s *site) streamCompletion(ctx context.Context, n, tokens, promptBytes int) response {
	s.t.Helper()
	start := time.Now()
	body := fmt.Sprintf(`{"model":"starter","stream":true,"max_tokens":%d,"prompt":%q}`, tokens, strings.Repeat("x", promptBytes))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://10.0.0.%d:80/v1/completions", n), strings.NewReader(body))
	quicktest.Assert(s.t, err, quicktest.IsNil)
	req.Header.Set("Bamboo-Organisation", "levain")
	resp, err := s.clientFrom(callerAddr).Do(req)
	if err != nil {
		return response{errMsg: err.Error()}
	}
	defer resp.Body.Close()
	out := response{status: resp.StatusCode, id: resp.Header.Get("Bamboo-Request"), verdict: resp.Header.Get("Bamboo-Verdict")}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		out.addLine(lines.Text())
	}
	if lines.Err() != nil {
		out.errMsg = lines.Err().Error()
	}
	out.elapsed = time.Since(start)
	return out
}

// addLine adds one line of a response body.
func (r *response) addLine(line string) {
	data, isEvent := strings.CutPrefix(line, "data: ")
	if data == "[DONE]" {
		r.complete = true
		return
	}
	if !isEvent && !strings.HasPrefix(line, "{") {
		return
	}
	var ev event
	if err := json.Unmarshal([]byte(data), &ev); err != nil {
		r.errMsg = err.Error()
		return
	}
	if ev.Error != nil {
		r.errMsg, r.verdict = ev.Error.Message, ev.Error.Verdict
	}
	for _, c := range ev.Choices {
		r.text += c.Text
	}
	if ev.Usage != nil {
		r.tokens = ev.Usage.Completion
	}
}

// checkComplete checks that the caller received the whole answer to its own request.
func (s *site) checkComplete(got response, tokens int) {
	s.t.Helper()
	quicktest.Check(s.t, got.errMsg, quicktest.Equals, "")
	quicktest.Check(s.t, got.complete, quicktest.IsTrue)
	quicktest.Check(s.t, got.text, quicktest.Equals, fake.Answer(got.id, tokens))
	quicktest.Check(s.t, got.tokens, quicktest.Equals, tokens)
}

// checkEnginesIdle checks that the engines have freed all of their KV cache after 20 s,
// within which every grant has expired.
func (s *site) checkEnginesIdle(engines ...*fake.Engine) {
	s.t.Helper()
	time.Sleep(20 * time.Second)
	for _, e := range engines {
		quicktest.Check(s.t, e.Held(), quicktest.Equals, 0)
	}
}

// waitForBusy waits for one of the engines to hold a request and returns its index, or -1
// if none does within a second.
func waitForBusy(engines ...*fake.Engine) int {
	for range 1000 {
		for i, e := range engines {
			if e.Held() > 0 {
				return i
			}
		}
		time.Sleep(time.Millisecond)
	}
	return -1
}

// schedulerOf returns the name of the instance that holds the lease on a shard.
func (s *site) schedulerOf(pool, dc string) string {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://10.0.0.1:82/v1/view", nil)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	resp, err := s.clientFrom(callerAddr).Do(req)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	defer resp.Body.Close()
	var v member.View
	quicktest.Assert(s.t, json.NewDecoder(resp.Body).Decode(&v), quicktest.IsNil)
	lease, _, _ := v.Scheduler(member.Shard{Pool: pool, DataCentre: dc})
	return lease.Holder
}
