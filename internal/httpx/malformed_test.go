package httpx

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// malformedResponses are complete responses with an invalid status or field name.
func malformedResponses() map[string]string {
	const rest = " X\r\n" + HeaderID + ": r1\r\nContent-Length: 2\r\n\r\n[]"
	return map[string]string{
		"000": "HTTP/1.1 000" + rest, "099": "HTTP/1.1 099" + rest, "101": "HTTP/1.1 101" + rest,
		"600": "HTTP/1.1 600" + rest, "999": "HTTP/1.1 999" + rest,
		"000, then 200": "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200" + rest,
		"blank":         "HTTP/1.1 200 X\r\nX Y: z" + rest[2:],
		"length":        "HTTP/1.1 200 X\r\n" + HeaderID + ": r1\r\nContent-Length : 2\r\n\r\n[]",
		"informational": "HTTP/1.1 103 X\r\nX Y: z\r\n\r\nHTTP/1.1 200" + rest,
	}
}

// TestMalformedResponse guards against a malformed response that is taken for an answer.
func TestMalformedResponse(t *testing.T) {
	for name, text := range malformedResponses() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests := 0
				dial := startRawServer(t, &memnet.Network{}, func(c net.Conn, _ int) {
					requests++
					io.WriteString(c, text)
					c.Close()
				})
				pooled := PooledTransport(dial)
				defer pooled.CloseIdleConnections()
				e, s := &Engine{Pooled: pooled, Fresh: Fresh(dial)}, Services{Fresh: Fresh(dial)}
				_, callErr := s.Call(t.Context(), serverAddr, idempotentPost(t), time.Time{})
				_, listErr := e.Holdings(t.Context(), serverAddr)
				cancelErr := e.Cancel(t.Context(), serverAddr, "g1")
				for _, err := range []error{callErr, listErr, cancelErr, generate(t, e, "r1")} {
					quicktest.Assert(t, err, quicktest.IsNotNil)
					quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.MayHaveRun)
					_, ok := engine.FailureOf(err).(*engine.Garbled)
					quicktest.Check(t, ok, quicktest.IsTrue, quicktest.Commentf("%v", err))
				}
				quicktest.Check(t, requests, quicktest.Equals, 4)
			})
		})
	}
}
