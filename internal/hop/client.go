// Package hop carries single requests to targets over HTTP/1.1. Unlike net/http
// it never sends a request twice, tells what was sent when something fails, and
// recognises answers that belong to another request.
package hop

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// dialTimeout bounds a new connection: a target across the region answers
	// within milliseconds, and a lost opening packet comes again after a second.
	dialTimeout = 700 * time.Millisecond
	// readBuffer is in bytes; events of streams are a few hundred.
	readBuffer = 4 << 10
	// maxStrays bounds the answers to other requests that are passed over.
	maxStrays = 4
	// maxStray bounds such an answer in bytes.
	maxStray = 1 << 20
)

// Request is what is sent to a target.
type Request struct {
	Method string
	// URI is the path with the query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Fresh wants a connection of its own, since a kept one may be dead without
	// a sign, and whether the request ran would be unknown.
	Fresh bool
	// Mine says whether an answer belongs to the request.
	Mine func(h http.Header) bool
	// Patience is how long the head of the answer is waited for; 0 leaves that to
	// the context.
	Patience time.Duration
}

// Client sends requests to targets. Its zero value needs Dial.
type Client struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	idle idle
}

// Response is the answer of a target. It must be closed.
type Response struct {
	*http.Response
	client *Client
	conn   *conn
	stop   func() bool
	sent   <-chan error
}

// Do sends a request and waits for the head of the answer. Its errors wrap an
// engine.Failure: Unreachable if nothing was sent, Silent if the patience ended.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, addr, r.Fresh)
	if err != nil {
		return nil, &engine.Unreachable{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { cn.Close() })
	sent := make(chan error, 1)
	head := r.encode()
	if len(r.Body) < smallBody {
		_, err := cn.Write(append(head, r.Body...))
		sent <- err
	} else {
		go func() { sent <- cn.writeAll(head, r.Body) }()
	}
	if r.Patience > 0 {
		// It fails only on a connection that is closed, which the read tells.
		_ = cn.SetReadDeadline(time.Now().Add(r.Patience))
	}
	resp, err := cn.readHead(r)
	if r.Patience > 0 && err == nil {
		_ = cn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		stop()
		cn.Close()
		if ctx.Err() != nil {
			return nil, errors.CombineErrors(&engine.Broken{Cause: ctx.Err()}, err)
		}
		return nil, err
	}
	return &Response{Response: resp, client: c, conn: cn, stop: stop, sent: sent}, nil
}

// smallBody is the size in bytes up to which a request is sent in one write: it
// fits the send buffer, so that the write doesn't wait for the target.
const smallBody = 16 << 10

func (r *Request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// A buffer takes all that is written.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// conn is one connection to a target.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	// until is when the target may close it.
	until time.Time
}

func (c *conn) writeAll(head, body []byte) error {
	_, err := c.Write(head)
	if err == nil {
		_, err = c.Write(body)
	}
	return err
}

// readHead reads the head of the answer to r, and passes over answers to other
// requests that lie before it.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	for range maxStrays {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
		if err != nil {
			var bad net.Error
			if errors.As(err, &bad) && bad.Timeout() {
				return nil, &engine.Silent{After: r.Patience}
			}
			if errors.As(err, &bad) || isEnd(err) {
				return nil, &engine.Broken{Cause: err}
			}
			return nil, &engine.Garbled{Message: fmt.Sprintf("not an answer: %v", err)}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine == nil || r.Mine(resp.Header) {
			return resp, nil
		}
		if err := skip(resp); err != nil {
			return nil, &engine.Garbled{Message: "an answer to another request that does not end"}
		}
	}
	return nil, &engine.Garbled{Message: "only answers to other requests"}
}

// Close ends the exchange. With reuse the connection is kept if the answer was
// read to its end and the target keeps it.
func (r *Response) Close(reuse bool) {
	if !r.stop() {
		reuse = false
	}
	select {
	case err := <-r.sent:
		reuse = reuse && err == nil
	default:
		// The target answered before it had read the request. The rest must not
		// be taken for another one.
		reuse = false
	}
	if !reuse || r.Response.Close || r.ContentLength < 0 && len(r.TransferEncoding) == 0 {
		r.conn.Close()
		return
	}
	r.SetReadDeadline(time.Time{})
	r.conn.until = time.Now().Add(keepFor(r.Header))
	r.client.idle.give(r.conn)
}

// keepFor is how long a target keeps an idle connection.
func keepFor(h http.Header) time.Duration {
	for _, part := range headerParts(h.Get("Keep-Alive")) {
		if s, ok := strings.CutPrefix(part, "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil && n > 0 {
				return max(0, time.Duration(n)*time.Second-keepMargin)
			}
		}
	}
	return defaultKeep
}

// SetReadDeadline bounds the wait for the next bytes of the answer.
func (r *Response) SetReadDeadline(t time.Time) {
	// It fails only on a connection that is closed, which the next read tells.
	_ = r.conn.SetReadDeadline(t)
}
