package cmds

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/platform"
)

const flagAgainst = "against"

// tablesCommand returns the command whose subcommands read files of tables and call no instance.
func tablesCommand() *cli.Command {
	check := &cli.Command{
		Name: "check", Usage: "find what is wrong with a file of tables before it is sent", ArgsUsage: "FILE", Action: checkTables,
		Flags:        []cli.Flag{jsonFlag(), &cli.StringFlag{Name: flagAgainst, Usage: "`FILE` of the version in force, to show what differs"}},
		OnUsageError: usageError, HideHelpCommand: true,
	}
	return &cli.Command{Name: "tables", Usage: "check files of tables", Commands: []*cli.Command{check}, Action: func(_ context.Context, c *cli.Command) error {
		return errors.Wrapf(errUsage, "tables has no command %q; see \"bamboo tables --help\"", c.Args().First())
	}}
}

// tablesReport is what checkTables finds.
type tablesReport struct {
	File     string          `json:"file"`
	Errors   int             `json:"errors"`
	Warnings int             `json:"warnings"`
	Findings []table.Finding `json:"findings,omitempty"`
	// Against is the file that Differences refers to.
	Against     string   `json:"against,omitempty"`
	Differences []string `json:"differences,omitempty"`
}

// add adds findings of a document.
func (r *tablesReport) add(b []byte, found ...table.Finding) {
	for _, f := range found {
		var fe *table.FieldError
		if errors.As(table.AtLine(b, &f.FieldError), &fe) {
			f.FieldError = *fe
		}
		if f.Severity == table.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
		r.Findings = append(r.Findings, f)
	}
}

// String returns the report as text.
func (r *tablesReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %d errors, %d warnings\n", r.File, r.Errors, r.Warnings)
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s: %s\n", f.Severity, f.Error())
	}
	if r.Against != "" {
		fmt.Fprintf(&b, "compared with %s: %d differences\n", r.Against, len(r.Differences))
		for _, d := range r.Differences {
			b.WriteString(d + "\n")
		}
	}
	return b.String()
}

// checkTables reports what is wrong with a file of tables, in the form of either layout, and what
// differs from another file. It fails if there are errors, not for warnings.
func checkTables(_ context.Context, c *cli.Command) error {
	if err := requireArgs(c, 1, 1, "one file of tables"); err != nil {
		return err
	}
	r := &tablesReport{File: c.Args().First(), Against: c.String(flagAgainst)}
	b, err := os.ReadFile(r.File)
	if err != nil {
		return errors.Mark(err, errBadFile)
	}
	var former []byte
	if r.Against != "" {
		if former, err = os.ReadFile(r.Against); err != nil {
			return errors.Mark(err, errBadFile)
		}
		if platform.IsTables(b) != platform.IsTables(former) {
			return errors.Mark(errors.Newf("%s and %s are tables of different layouts", r.File, r.Against), errBadFile)
		}
	}
	if platform.IsTables(b) {
		err = r.checkSite(b, former)
	} else {
		err = r.checkTable(b, former)
	}
	if err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		err = writeJSON(c, r)
	} else {
		err = write(c.Root().Writer, r.String())
	}
	if err == nil && r.Errors > 0 {
		err = errors.Newf("%s: %d errors", r.File, r.Errors)
	}
	return err
}

// checkSite checks tables of a site whose entries and control instances are apart.
func (r *tablesReport) checkSite(b, former []byte) error {
	t, gaps, err := platform.ParseTables(b)
	if err != nil {
		r.add(b, table.Finding{Severity: table.Error, FieldError: table.FieldError{Field: "file", Message: err.Error()}})
		return nil
	}
	for _, gap := range gaps {
		r.add(b, table.Finding{Severity: table.Error, FieldError: gap})
	}
	for _, f := range t.Findings() {
		f.Field = platform.FieldName(f.Field)
		r.add(b, f)
	}
	if former == nil {
		return nil
	}
	// Gaps don't count: an earlier build may have accepted the version in force with them.
	old, _, err := platform.ParseTables(former)
	if err != nil {
		return errors.Mark(errors.Wrap(err, r.Against), errBadFile)
	}
	r.Differences = site.Differences(old, t)
	if t.Version <= old.Version && len(r.Differences) > 0 {
		r.add(b, table.Finding{Severity: table.Warning, FieldError: table.FieldError{
			Field: "version", Message: fmt.Sprintf("version %d is not above %d, so the change would have no effect", t.Version, old.Version),
		}})
	}
	return nil
}

// checkTable checks tables of a site with one kind of instance.
func (r *tablesReport) checkTable(b, former []byte) error {
	t := new(table.Tables)
	if err := table.DecodeFile(b, t); err != nil {
		fe := &table.FieldError{Field: "file", Message: err.Error()}
		errors.As(err, &fe)
		r.add(b, table.Finding{Severity: table.Error, FieldError: *fe})
		return nil
	}
	var missing *table.FieldError
	if errors.As(t.CheckPresent(), &missing) {
		r.add(b, table.Finding{Severity: table.Error, FieldError: *missing})
	}
	r.add(b, t.Findings()...)
	if former == nil {
		return nil
	}
	old := new(table.Tables)
	if err := table.DecodeFile(former, old); err != nil {
		return errors.Mark(errors.Wrap(err, r.Against), errBadFile)
	}
	patch := table.Diff(old, t)
	r.Differences = patch.Summary()
	return nil
}
