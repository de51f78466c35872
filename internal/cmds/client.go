package cmds

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/auth"
	"github.com/bambooproxy/bambooproxy/internal/strict"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// clientTimeout bounds one request to an instance.
	clientTimeout = 30 * time.Second
	// maxReplyBytes bounds the response body of an instance.
	maxReplyBytes = 64 << 20
)

// Flags of the commands that call an instance.
const (
	flagOperators = "operators"
	flagToken     = "token-file"
	flagJSON      = "json"
)

// clientFlags returns the flags that newClient reads, followed by more.
func clientFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: flagOperators, Usage: "operators' `ADDRESS` of an instance; more are tried in turn",
			Value: []string{"127.0.0.1:8402"}, Sources: cli.EnvVars("BAMBOO_OPERATORS"),
		},
		&cli.StringFlag{
			Name: flagToken, Usage: "`FILE` with the operator's token", Sources: cli.EnvVars("BAMBOO_TOKEN_FILE"),
		},
	}, more...)
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: flagJSON, Usage: "write JSON for scripts"} }

// client calls the operators' API of the instances at addrs.
type client struct {
	http  *http.Client
	addrs []string
}

func newClient(c *cli.Command) (*client, error) {
	transport := strict.NewTransport(http.DefaultTransport.(*http.Transport).Clone())
	cl := &client{http: &http.Client{Timeout: clientTimeout, Transport: transport}, addrs: c.StringSlice(flagOperators)}
	for _, addr := range cl.addrs {
		host, _, err := net.SplitHostPort(addr)
		if err != nil || net.ParseIP(host) == nil {
			return nil, errors.Wrapf(errUsage, "--%s: %q is not an IP and port", flagOperators, addr)
		}
	}
	if path := c.String(flagToken); path != "" {
		secret, err := auth.ReadSecret(path)
		if err != nil {
			return nil, errors.Mark(err, errBadFile)
		}
		cl.http.Transport = &auth.BearerTransport{Token: secret, Base: transport}
	}
	return cl, nil
}

// call sends in to the first address that can be dialled and decodes the response into out.
// It tries the next address only if the dial failed, so the request is sent at most once.
func (cl *client) call(ctx context.Context, method, path string, in, out any) error {
	var err error
	for _, addr := range cl.addrs {
		err = cl.callAddr(ctx, addr, method, path, in, out)
		var opErr *net.OpError
		if !errors.As(err, &opErr) || opErr.Op != "dial" {
			return err
		}
	}
	return err
}

// callAddr sends in to one address and decodes the response into out. It marks the error
// with errNoAnswer if no complete response arrived.
func (cl *client) callAddr(ctx context.Context, addr, method, path string, in, out any) error {
	body, err := encode(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return errors.Wrapf(err, "build request to %s", addr)
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "no answer from %s", addr), errNoAnswer)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read response of %s", addr), errNoAnswer)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return decodeError(resp.StatusCode, b)
	}
	return errors.Wrapf(json.Unmarshal(b, out), "decode response of %s", addr)
}

// encode returns in as a JSON request body, or an empty body if in is nil.
func encode(in any) (io.Reader, error) {
	if in == nil {
		return http.NoBody, nil
	}
	b, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	return strings.NewReader(string(b)), nil
}

// decodeError returns the error in an error response of an instance.
func decodeError(status int, b []byte) error {
	var e verd.Error
	if err := json.Unmarshal(b, &e); err == nil && e.Message != "" {
		return &e
	}
	return verd.New(verd.MayHaveRun, verd.Internal, "unexpected response with status %d: %s", status, strings.TrimSpace(string(b)))
}
