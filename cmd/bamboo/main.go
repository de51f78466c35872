// Command bamboo runs the instances of the serving layer and is the command-line tool of
// their operators.
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
