package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// heartbeatInterval is the least time since the last write to a caller after which an
// engine's heartbeat is passed on.
const heartbeatInterval = 5 * time.Second

// completionWriter writes the response to one model request to its caller, in the order
// of the tokens, as a stream or as one JSON object.
type completionWriter struct {
	x   *exchange
	req *prompt.Request
	// chat is true for the chat completions API, false for the completions API.
	chat bool
	// nextOffset is the offset in tokens of the next chunk to write.
	nextOffset int
	// text is the generated text so far.
	text strings.Builder
	// usage contains the token counts that the last engine reported.
	usage engine.Usage
}

func newCompletionWriter(x *exchange, req *prompt.Request) *completionWriter {
	return &completionWriter{x: x, req: req, chat: strings.HasSuffix(x.r.URL.Path, "/chat/completions")}
}

// relay writes the chunks of st to the caller until the response is complete.
func (w *completionWriter) relay(st engine.Stream) error {
	for {
		c, err := st.Next()
		if err != nil {
			return err
		}
		if c.Heartbeat() {
			if err := w.writeHeartbeat(); err != nil {
				return err
			}
			continue
		}
		done, err := w.writeChunk(c)
		if err != nil || done {
			return err
		}
	}
}

// writeChunk writes c to the caller if it is the next chunk of the response. It drops
// duplicates and fails on gaps and on chunks of another request. done means that the
// response is complete.
func (w *completionWriter) writeChunk(c engine.Chunk) (done bool, err error) {
	switch {
	case c.ID != w.x.id:
		w.x.s.counter("foreign_chunks").Inc(1)
		return false, corruptStream("chunk belongs to another request")
	case c.Error != "":
		return false, verd.Wrap(&engine.Aborted{Message: c.Error}, verd.MayHaveRun, verd.Target, "engine failed")
	case c.Offset < w.nextOffset:
		w.x.s.counter("duplicate_chunks").Inc(1)
		return false, nil
	case c.Offset > w.nextOffset:
		w.x.s.counter("gaps").Inc(1)
		return false, corruptStream("chunks of the answer are missing")
	}
	w.x.recordFirstToken()
	w.nextOffset += c.Tokens
	w.text.WriteString(c.Text)
	if w.req.Stream && c.Text != "" {
		if err := w.writeEvent(w.delta(c.Text, "")); err != nil {
			return false, err
		}
	}
	if !c.End {
		return false, nil
	}
	if c.Usage != nil {
		w.usage = *c.Usage
	}
	return true, w.finish(c.Finish)
}

// corruptStream returns the error for a stream with a missing or foreign chunk.
func corruptStream(msg string) error {
	return verd.Wrap(&engine.Garbled{Message: msg}, verd.MayHaveRun, verd.Target, "invalid stream from the engine")
}

// writeHeartbeat writes an SSE comment, which keeps an idle stream open, if nothing was
// written for heartbeatInterval.
func (w *completionWriter) writeHeartbeat() error {
	if !w.x.out.headerSent || time.Since(w.x.out.lastWrite) < heartbeatInterval {
		return nil
	}
	return w.write(": heartbeat\n\n")
}

// finish ends the response: it writes the last events of a stream, or the whole response.
func (w *completionWriter) finish(reason string) error {
	if w.req.Stream {
		last := w.delta("", reason)
		last.Usage = w.totalUsage()
		if err := w.writeEvent(last); err != nil {
			return err
		}
		return w.write("data: [DONE]\n\n")
	}
	out := w.fullCompletion(reason)
	out.Usage = w.totalUsage()
	b := marshalLine(out)
	h := w.x.out.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.x.out.writeHeader(http.StatusOK, verd.Ran)
	_, err := w.x.out.Write(b)
	return err
}

// writeErrorEvent writes e as the last event of a stream that has begun.
func (w *completionWriter) writeErrorEvent(e *verd.Error) {
	// A write fails only if the caller has disconnected.
	_ = w.write("event: error\ndata: " + string(marshalLine(newErrorBody(e))) + "\n")
}

// completion is a response, or one event of a streamed response, in the OpenAI formats.
type completion struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Model   string           `json:"model"`
	Choices []choice         `json:"choices"`
	Usage   *completionUsage `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// totalUsage returns the usage of the whole response. The completion tokens are those of
// all engines that generated a part of it.
func (w *completionWriter) totalUsage() *completionUsage {
	return &completionUsage{
		PromptTokens:     w.usage.Prompt,
		CompletionTokens: w.nextOffset,
		TotalTokens:      w.usage.Prompt + w.nextOffset,
		PromptDetails:    promptDetails{CachedTokens: w.usage.Reused},
	}
}

// fullCompletion returns the response to a request that isn't streamed.
func (w *completionWriter) fullCompletion(finish string) *completion {
	text := w.text.String()
	c := &completion{ID: w.x.id, Object: "text_completion", Model: w.req.Model}
	ch := choice{FinishReason: &finish}
	if w.chat {
		c.Object = "chat.completion"
		ch.Message = &message{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	c.Choices = []choice{ch}
	return c
}

// delta returns one event of a streamed response. finish is empty before the last one.
func (w *completionWriter) delta(text, finish string) *completion {
	c := &completion{ID: w.x.id, Object: "text_completion", Model: w.req.Model}
	var ch choice
	if finish != "" {
		ch.FinishReason = &finish
	}
	if w.chat {
		c.Object = "chat.completion.chunk"
		ch.Delta = &message{Content: text}
	} else {
		ch.Text = &text
	}
	c.Choices = []choice{ch}
	return c
}

// writeEvent writes c as a server-sent event.
func (w *completionWriter) writeEvent(c *completion) error {
	return w.write("data: " + string(marshalLine(c)) + "\n")
}

// write sends s to the caller, after the headers of the stream if it is the first write.
func (w *completionWriter) write(s string) error {
	if !w.x.out.headerSent {
		w.x.out.w.Header().Set("Content-Type", "text/event-stream")
		w.x.out.writeHeader(http.StatusOK, verd.Ran)
	}
	_, err := w.x.out.Write([]byte(s))
	return err
}

// marshalLine returns v as a line of JSON.
func marshalLine(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // All types passed here can be encoded.
	}
	return append(b, '\n')
}
