package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/entry"
	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// The outcomes of a request.
const (
	// Completed is a complete and correct answer within the time limit.
	Completed Outcome = "whole"
	// Refused is a refusal with the verdict not-run.
	Refused Outcome = "refused"
	// TimedOut is a gateway timeout that reached the caller within the time limit.
	TimedOut Outcome = "timed_out"
	// Overrun is a request that ended after its time limit.
	Overrun Outcome = "over_time"
	// Truncated is an answer that ended early.
	Truncated Outcome = "cut_off"
	// Corrupt is an answer with tokens of another request or with missing tokens.
	Corrupt Outcome = "wrong"
	// Failed is an error with another verdict than not-run, or with none.
	Failed Outcome = "failed"
	// Unsent is a request that was not sent: no instance could be dialled, or the
	// limit of requests in flight was reached.
	Unsent Outcome = "unsent"
)

const (
	// deadlineMargin is the time that an answer may take beyond the time limit, for
	// network latency.
	deadlineMargin = 250 * time.Millisecond
	// maxEvent bounds the size of one event of a streamed answer in bytes.
	maxEvent = 1 << 20
)

// job is one request of a run.
type job struct {
	// tokens is the length of the prompt; 0 means a call to OncePath.
	tokens int
	key    string
	due    time.Time
}

// result is the result of a job. Its times count from when the job was due.
type result struct {
	outcome              Outcome
	firstToken, complete time.Duration
	// detail explains any outcome other than Completed.
	detail string
}

// send sends a job to the first of addrs that can be dialled and waits for the answer.
func (r *Run) send(ctx context.Context, addrs []string, j job) result {
	ctx, stop := context.WithDeadline(ctx, j.due.Add(r.Plan.Limit+deadlineMargin))
	defer stop()
	for _, addr := range addrs {
		resp, err := r.post(ctx, addr, j)
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			continue
		}
		if err != nil {
			return r.connectionError(ctx, j, Failed, err)
		}
		res := r.readAnswer(ctx, resp, j)
		resp.Body.Close()
		return res
	}
	return result{outcome: Unsent, detail: "no instance could be dialled"}
}

// post sends a job to one instance: a streamed completion or a call to OncePath.
func (r *Run) post(ctx context.Context, addr string, j job) (*http.Response, error) {
	url, body := "http://"+addr+r.Plan.OncePath, `{"call":"`+j.key+`"}`
	if j.tokens > 0 {
		url = "http://" + addr + "/v1/completions"
		body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":"%s"}`,
			r.Plan.Model, r.Plan.Output, strings.Repeat("log ", j.tokens*prompt.BytesPerToken/len("log ")))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	req.GetBody = nil
	req.Header.Set(entry.HeaderTimeLimit, r.Plan.Limit.String())
	if r.Plan.Organisation != "" {
		req.Header.Set(entry.HeaderOrganisation, r.Plan.Organisation)
	}
	if r.Plan.Token != "" {
		req.Header.Set("Authorization", "Bearer "+r.Plan.Token)
	}
	if j.tokens == 0 {
		req.Header.Set("Idempotency-Key", j.key)
	}
	return r.http.Do(req)
}

// connectionError returns the result of a job whose connection failed: Overrun after the
// deadline, else outcome o.
func (r *Run) connectionError(ctx context.Context, j job, o Outcome, err error) result {
	if ctx.Err() != nil {
		o = Overrun
	}
	return result{outcome: o, complete: time.Since(j.due), detail: err.Error()}
}

// readAnswer reads an answer to its end and checks it.
func (r *Run) readAnswer(ctx context.Context, resp *http.Response, j job) result {
	if resp.StatusCode != http.StatusOK {
		return errorResult(resp, j, r.Plan.Limit)
	}
	res := result{outcome: Completed}
	if j.tokens == 0 {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return r.connectionError(ctx, j, Truncated, err)
		}
		res.complete = time.Since(j.due)
		res.firstToken = res.complete
		return res
	}
	s := &answerStream{id: resp.Header.Get(entry.HeaderRequestID), due: j.due}
	if err := s.read(resp.Body); err != nil {
		return r.connectionError(ctx, j, Truncated, err)
	}
	res.firstToken, res.complete = s.firstToken, time.Since(j.due)
	switch {
	case s.mismatch != "":
		res.outcome, res.detail = Corrupt, s.mismatch
	case !s.done || s.tokens != r.Plan.Output:
		res.outcome, res.detail = Truncated, fmt.Sprintf("ended after %d tokens: %s", s.tokens, s.errorMessage)
	case res.complete > r.Plan.Limit+deadlineMargin:
		res.outcome = Overrun
	}
	return res
}

// errorResult returns the result of a job that was answered with an error status.
func errorResult(resp *http.Response, j job, limit time.Duration) result {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // A read error only shortens the detail.
	res := result{outcome: Failed, complete: time.Since(j.due)}
	res.detail = fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(b)))
	switch {
	case res.complete > limit+deadlineMargin:
		res.outcome = Overrun
	case resp.StatusCode == http.StatusGatewayTimeout:
		res.outcome = TimedOut
	case resp.Header.Get(verd.Header) == verd.NotRun.String():
		res.outcome = Refused
	}
	return res
}

// answerStream checks the tokens of one streamed answer. Fake engines derive each token from
// the request's id and the token's offset, so that tokens of other requests and missing ones
// are detected.
type answerStream struct {
	id           string
	due          time.Time
	firstToken   time.Duration
	tokens       int
	done         bool   // the final event has arrived
	mismatch     string // the first unexpected token, if any
	errorMessage string // the message of an error event, if any
}

// event holds the checked fields of a completion event.
type event struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// read reads the events of an answer to its end.
func (s *answerStream) read(body io.Reader) error {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxEvent)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errors.Wrap(err, "decode an event of the answer")
		}
		s.addEvent(&e)
	}
	return sc.Err()
}

// addEvent checks the tokens of one event.
func (s *answerStream) addEvent(e *event) {
	if e.Error != nil {
		s.errorMessage = e.Error.Message
		return
	}
	for _, c := range e.Choices {
		for _, word := range strings.Fields(c.Text) {
			if s.tokens == 0 {
				s.firstToken = time.Since(s.due)
			}
			if want := strings.TrimSpace(fake.Word(s.id, s.tokens)); word != want && s.mismatch == "" {
				s.mismatch = fmt.Sprintf("token %d is %q, not %q", s.tokens, word, want)
			}
			s.tokens++
		}
	}
}
