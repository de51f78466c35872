// Package hop sends single requests to targets over HTTP/1.1. Unlike net/http it never
// sends a request twice, reports whether anything was sent when a request fails, and
// detects responses that belong to another request.
package hop

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/internal/strict"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

const (
	// dialTimeout bounds the time to connect: a target in the region answers within
	// milliseconds, and a lost SYN packet is sent again only after a second.
	dialTimeout = 700 * time.Millisecond
	// readBufferBytes is the size of a read buffer; stream events are a few hundred bytes
	// long.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the status line and headers of a response, and those of the
	// informational responses before it.
	maxHeadBytes = 64 << 10
	// maxStaleResponses bounds the responses that are read until one belongs to the
	// request. It counts informational responses (1xx), too.
	maxStaleResponses = 4
	// maxStaleBytes bounds the body of a response to another request, which is discarded.
	maxStaleBytes = 1 << 20
)

// Request is a request to a target.
type Request struct {
	Method string
	// URI is the path with the query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// NewConn requires a new connection. The target may have closed a reused one, and after
	// a failure on it, it is unknown whether the request ran.
	NewConn bool
	// Matches reports whether a response with these headers belongs to the request; nil
	// accepts every response. On a reused connection it may belong to an earlier request.
	Matches func(h http.Header, reused bool) bool
	// HeadTimeout bounds the wait for the response headers; 0 means that only the context
	// does.
	HeadTimeout time.Duration
	// MaxIdle bounds the idle connections to the target that are kept after the request. 0
	// means DefaultMaxIdle, and a negative number none.
	MaxIdle int
}

// Client sends requests to targets and keeps idle connections. Dial must be set.
type Client struct {
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Responses bounds the memory of what is held of responses; nil bounds nothing. Clients may share it.
	Responses *guard.Responses

	idle idlePool
}

// SingleUse is implemented by connections that Dial returns and that must not be kept for another
// request.
type SingleUse interface {
	net.Conn
	SingleUse()
}

// Response is the response of a target. It must be closed.
type Response struct {
	*http.Response
	client *Client
	conn   *conn
	// stopWatch is the stop function of the context.AfterFunc that closes the connection
	// when the context ends; it returns false if the context has ended.
	stopWatch func() bool
	// writeDone receives the result of writing the request.
	writeDone <-chan error
}

// Do sends a request and waits for the response headers. Errors wrap an engine.Failure:
// Unreachable if nothing was sent, Silent after HeadTimeout, Broken if the connection or
// ctx ended, Garbled if the bytes are no response to the request.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	cn, err := c.connect(ctx, addr, r.NewConn)
	if err != nil {
		return nil, &engine.Unreachable{Cause: err}
	}
	cn.maxIdle, cn.held = r.MaxIdle, c.Responses.NewResponse(func() { cn.Close() })
	stopWatch := context.AfterFunc(ctx, func() { cn.Close() })
	writeDone := make(chan error, 1)
	head := r.encode()
	if len(r.Body) < maxSingleWriteBytes {
		_, err := cn.Write(append(head, r.Body...))
		writeDone <- err
	} else {
		go func() { writeDone <- cn.writeRequest(head, r.Body) }()
	}
	if r.HeadTimeout > 0 {
		// This fails only on a closed connection, and then the read fails, too.
		_ = cn.SetReadDeadline(time.Now().Add(r.HeadTimeout))
	}
	resp, err := cn.readHead(r)
	if r.HeadTimeout > 0 && err == nil {
		_ = cn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		stopWatch()
		cn.Close()
		cn.held.Release()
		if ctx.Err() != nil {
			return nil, errors.CombineErrors(&engine.Broken{Cause: ctx.Err()}, err)
		}
		return nil, err
	}
	return &Response{Response: resp, client: c, conn: cn, stopWatch: stopWatch, writeDone: writeDone}, nil
}

// maxSingleWriteBytes is the size below which a body is sent in one write with the
// headers: it fits the send buffer, so that the write doesn't block on the target.
const maxSingleWriteBytes = 16 << 10

func (r *Request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	// A write to a bytes.Buffer can't fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// conn is one connection to a target.
type conn struct {
	*strict.Conn
	addr string
	r    *bufio.Reader
	// headLeft is how many bytes of a response head may still be read; -1 while a body is
	// read.
	headLeft int
	// head checks the response head that is read.
	head strict.Head
	// expiresAt is when the target may close the connection.
	expiresAt time.Time
	// held is the memory of the response to the current request.
	held *guard.Response
	// maxIdle is Request.MaxIdle of the last request.
	maxIdle int
	// reused is set once a request before the current one was answered on the connection.
	reused bool
}

// errHeadTooLong reports that a response head exceeds maxHeadBytes.
var errHeadTooLong = errors.Newf("response head exceeds %d bytes", maxHeadBytes)

// bodyUnlimited is the value of conn.headLeft while a body is read.
const bodyUnlimited = -1

// Read reads from the connection, and no more than is left of a response head.
func (c *conn) Read(b []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLong
	}
	isHead := c.headLeft != bodyUnlimited
	if isHead {
		b = b[:min(len(b), c.headLeft)]
	}
	n, err := c.Conn.Read(b)
	if isHead {
		c.headLeft -= n
		c.head.Add(b[:n])
		err = cmp.Or(c.held.HoldHead(b[:n]), err)
	}
	if err != nil {
		// A response that has lost its memory has lost its connection, too.
		err = cmp.Or(c.held.Err(), err)
	}
	return n, err
}

func (c *conn) writeRequest(head, body []byte) error {
	_, err := c.Write(head)
	if err == nil {
		_, err = c.Write(body)
	}
	return err
}

// readHead reads the response headers for r. It discards informational responses and
// responses to other requests before them.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	for range maxStaleResponses {
		c.headLeft = maxHeadBytes
		c.head = strict.Head{}
		// What has been read ahead is in the buffer, so that this can't fail.
		ahead, _ := c.r.Peek(c.r.Buffered())
		c.head.Add(ahead)
		resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
		c.headLeft = bodyUnlimited
		if err == nil {
			err = cmp.Or(c.held.EndHead(resp.Header), c.head.Err(), strict.Check(resp))
		}
		if err != nil {
			// The reader may report a half line instead.
			err = cmp.Or(c.held.Err(), err)
			var netErr net.Error
			if errors.As(err, &netErr) && netErr.Timeout() {
				return nil, &engine.Silent{After: r.HeadTimeout}
			}
			if errors.As(err, &netErr) || isEOF(err) || errors.IsAny(err, guard.ErrResponsesFull, guard.ErrResponseStalled) {
				return nil, &engine.Broken{Cause: err}
			}
			return nil, &engine.Garbled{Message: fmt.Sprintf("not an HTTP response: %v", err)}
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header, c.reused) {
			return resp, nil
		}
		if err := discardResponse(resp); err != nil {
			return nil, &engine.Garbled{Message: "response to another request could not be read, or exceeds 1 MiB"}
		}
	}
	return nil, &engine.Garbled{Message: fmt.Sprintf("read %d responses, none of them to this request", maxStaleResponses)}
}

// Close ends the exchange. With reuse the connection is kept, provided that the request
// was sent completely and the target keeps it open; the caller must have read the whole
// body.
func (r *Response) Close(reuse bool) {
	r.conn.held.Release()
	if !r.stopWatch() {
		reuse = false
	}
	select {
	case err := <-r.writeDone:
		reuse = reuse && err == nil
	default:
		// The target answered before it had read the whole request. On a reused
		// connection it would take the rest for the next request.
		reuse = false
	}
	if _, once := r.conn.NetConn().(SingleUse); once {
		reuse = false
	}
	if !reuse || r.Response.Close || r.EndsWithConnection() {
		r.conn.Close()
		return
	}
	r.SetReadDeadline(time.Time{})
	r.conn.expiresAt, r.conn.reused = time.Now().Add(keepAliveTimeout(r.Header)), true
	r.client.idle.put(r.conn)
}

// Events returns a reader of the events in the body.
func (r *Response) Events() *EventReader {
	e := NewEventReader(r.Body)
	e.held = r.conn.held
	return e
}

// EndsWithConnection reports whether the body has neither a length nor chunks, so that it ends
// when the target closes the connection.
func (r *Response) EndsWithConnection() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// keepAliveTimeout returns how long an idle connection may be reused, from the target's
// Keep-Alive header.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range splitList(h.Get("Keep-Alive")) {
		if s, ok := strings.CutPrefix(part, "timeout="); ok {
			if n, err := strconv.Atoi(s); err == nil && n > 0 {
				return max(0, time.Duration(n)*time.Second-keepAliveMargin)
			}
		}
	}
	return defaultKeepAlive
}

// NetConn returns the connection that the response comes on, as Dial returned it.
func (r *Response) NetConn() net.Conn { return r.conn.NetConn() }

// SetReadDeadline bounds the wait for the next bytes of the response.
func (r *Response) SetReadDeadline(t time.Time) {
	// This fails only on a closed connection, and then the next read fails, too.
	_ = r.conn.SetReadDeadline(t)
}
