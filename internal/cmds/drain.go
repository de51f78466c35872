package cmds

import (
	"context"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/admin"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// drain starts the planned stop of the instance that is called, or of the named instance.
func drain(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 0, 1, "the name of one instance at most"); err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	if name := c.Args().First(); name != "" {
		addr, err := operatorAddr(ctx, cl, name)
		if err != nil {
			return err
		}
		cl.addrs = []string{addr}
	}
	var out admin.DrainResult
	if err := cl.call(ctx, http.MethodPost, "/v1/drain", nil, &out); err != nil {
		return err
	}
	return write(c.Root().Writer, fmt.Sprintf("%s is leaving\n", out.Instance))
}

// operatorAddr looks up the operators' address of an instance by name.
func operatorAddr(ctx context.Context, cl *client, name string) (string, error) {
	var v member.View
	if err := cl.call(ctx, http.MethodGet, "/v1/view", nil, &v); err != nil {
		return "", err
	}
	m, ok := v.Member(name)
	if !ok {
		return "", verd.New(verd.NotRun, verd.BadRequest, "the site has no instance %q", name)
	}
	return m.OperatorAddr, nil
}
