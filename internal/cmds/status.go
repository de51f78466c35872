package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/admin"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

func status(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 0, 0, "no arguments"); err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var st admin.Status
	if err := cl.call(ctx, http.MethodGet, "/v1/status", nil, &st); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		b, err := json.MarshalIndent(st, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode status")
		}
		return write(c.Root().Writer, string(b)+"\n")
	}
	return write(c.Root().Writer, formatStatus(&st))
}

// formatStatus formats the state of the site as tables of instances, shards and targets.
func formatStatus(st *admin.Status) string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d in force at %s", st.Revision, st.Self)
	if !st.LeaseValid {
		b.WriteString(", which is cut off from control")
	}
	b.WriteString("\n\n")
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tSTATE\tCALLERS\tOPERATORS\tANSWER")
	for _, inst := range st.Instances {
		answer := "yes"
		if inst.Error != "" {
			answer = inst.Error
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", inst.Name, inst.DataCentre, inst.State, inst.CallerAddr, inst.OperatorAddr, answer)
	}
	fmt.Fprintln(w, "\t\t\t\t\t")
	fmt.Fprintln(w, "SHARD\tSCHEDULER\tEPOCH\tWAITING\tGRANTED\tRESERVED")
	for _, s := range st.Shards {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", s.Shard.String(), s.Holder, s.Epoch, s.Waiting, s.Granted, s.Reserved)
	}
	fmt.Fprintln(w, "\t\t\t\t\t")
	fmt.Fprintln(w, "TARGET\tSHARD\tKIND\tADDRESS\tMEMORY\tSTATE")
	for _, s := range st.Shards {
		for _, t := range s.Targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", t.Name, s.Shard.String(), t.Kind, t.Addr, formatMemory(&t), targetState(&t))
		}
	}
	_ = w.Flush() // Writing to a strings.Builder never fails.
	return trimLines(b.String())
}

// formatMemory returns the KV cache capacity of an engine in tokens, or "-" for a service.
func formatMemory(t *engine.Target) string {
	if t.Kind != table.Engine {
		return "-"
	}
	return fmt.Sprint(t.Memory)
}

func targetState(t *engine.Target) string {
	if t.Leaving {
		return "leaving"
	}
	return "serving"
}

// trimLines removes trailing spaces from each line.
func trimLines(s string) string {
	lines := strings.Split(s, "\n")
	for i, l := range lines {
		lines[i] = strings.TrimRight(l, " ")
	}
	return strings.Join(lines, "\n")
}
