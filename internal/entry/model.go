package entry

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// complete serves a completion or chat completion request.
func (s *Server) complete(x *exchange) error {
	body, err := x.readBody()
	if err != nil {
		return err
	}
	req, err := prompt.Parse(body)
	if err != nil {
		return err
	}
	x.promptTokens = req.Tokens
	rt, p, cancel, err := x.route(req.Model)
	if err != nil {
		return err
	}
	defer cancel()
	if p.Kind != table.Engine {
		return verd.New(verd.NotRun, verd.NoRoute, "route %s leads to pool %q, which contains services, not engines", rt.Name, rt.Pool)
	}
	settleQuota, err := s.Quota.Admit(x.ctx, p, x.org, req.Tokens+req.Output)
	if err != nil {
		return err
	}
	writer := newCompletionWriter(x, req)
	defer func() { settleQuota(req.Tokens + writer.nextOffset) }()
	inf := inference{x: x, rt: rt, req: req, body: body, writer: writer}
	err = inf.run()
	if err != nil && x.out.headerSent {
		writer.writeErrorEvent(x.finalError(err))
		x.errorSent = true
	}
	return err
}

// readBody reads the body of the request into one buffer, allocated at full size if the
// Content-Length is known.
func (x *exchange) readBody() ([]byte, error) {
	if x.r.ContentLength > x.s.MaxBody {
		return nil, x.bodyTooLarge()
	}
	var buf bytes.Buffer
	if n := x.r.ContentLength; n > 0 {
		buf.Grow(int(n) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(&bodyReader{x: x, src: http.MaxBytesReader(x.out.w, x.r.Body, x.s.MaxBody)})
	var limitErr *http.MaxBytesError
	if errors.As(err, &limitErr) {
		return nil, x.bodyTooLarge()
	}
	if err != nil {
		return nil, verd.Wrap(err, verd.NotRun, verd.BadRequest, "read request body")
	}
	return buf.Bytes(), nil
}

func (x *exchange) bodyTooLarge() error {
	return verd.New(verd.NotRun, verd.TooLarge, "request body is larger than %d bytes", x.s.MaxBody)
}
