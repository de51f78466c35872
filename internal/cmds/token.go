package cmds

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/auth"
)

// token creates a token. It writes the secret to standard output and the entry for the token
// file to standard error, so that the two can be redirected separately.
func token(_ context.Context, c *cli.Command) error {
	if err := requireArgs(c, 1, 1, "one name"); err != nil {
		return err
	}
	secret := auth.NewSecret()
	line, err := json.Marshal(auth.Token{Name: c.Args().First(), SHA256: auth.Hash(secret)})
	if err != nil {
		return errors.Wrap(err, "encode token")
	}
	if err := write(c.Root().ErrWriter, fmt.Sprintf("%s\n", line)); err != nil {
		return err
	}
	return write(c.Root().Writer, secret+"\n")
}
