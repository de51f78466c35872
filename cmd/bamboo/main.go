// Command bamboo is the serving layer: every instance runs it, and operators
// drive the system with it.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/bambooproxy/bambooproxy/internal/cmds"
)

func main() {
	err := cmds.New().Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bamboo:", err)
	}
	os.Exit(int(cmds.ExitCode(err)))
}
