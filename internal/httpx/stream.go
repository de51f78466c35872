package httpx

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// maxChunkBytes bounds the encoded size of one chunk.
	maxChunkBytes = 1 << 20
	// eofTimeout bounds the wait for the end of the response after the last chunk. A
	// connection that takes longer is closed instead of reused.
	eofTimeout = 100 * time.Millisecond
)

// stream reads a response of chunks, one JSON value a line. An empty line is a heartbeat.
type stream struct {
	exchange *exchange
	body     io.ReadCloser
	lines    *bufio.Scanner
	// complete is set once the last chunk was received.
	complete bool
}

func newStream(x *exchange, resp *http.Response) *stream {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxChunkBytes)
	return &stream{exchange: x, body: resp.Body, lines: lines}
}

// Next waits for the next chunk. A zero chunk is a heartbeat.
func (s *stream) Next() (engine.Chunk, error) {
	if !s.lines.Scan() {
		err := s.lines.Err()
		if err == nil {
			err = io.EOF
		}
		return engine.Chunk{}, s.exchange.transportError(s.exchange.ctx, err)
	}
	s.exchange.noteActivity()
	if len(s.lines.Bytes()) == 0 {
		return engine.Chunk{}, nil
	}
	c, err := decodeChunk(s.lines.Bytes())
	s.complete = s.complete || c.End
	return c, err
}

// decodeChunk decodes one chunk and checks its values.
func decodeChunk(b []byte) (engine.Chunk, error) {
	var c engine.Chunk
	err := json.Unmarshal(b, &c)
	if err == nil {
		err = c.Check()
	}
	if err != nil {
		return engine.Chunk{}, verd.Wrap(&engine.Garbled{Message: err.Error()}, verd.MayHaveRun, verd.Target, "decode chunk of the answer")
	}
	return c, nil
}

// Close closes the stream; the engine keeps the request, which can be resumed. After a
// complete answer the connection is reused.
func (s *stream) Close() error {
	if s.complete {
		s.exchange.expireAfter(eofTimeout)
		_ = s.lines.Scan() // Reads the end of the response, so that the connection can be reused.
	}
	s.exchange.close()
	return s.body.Close()
}
