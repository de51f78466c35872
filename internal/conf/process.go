package conf

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Process holds the settings of one process of a site where entries and control instances
// run as separate processes.
type Process struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Regions maps data centres to regions. If empty, all data centres are one region. Changes
	// take effect at the next start.
	Regions site.Regions `json:"regions"`
	// Fair makes requests count by the priorities of their organisation and route, and organisations
	// share engines fairly under overload. All processes of a site must have the same value.
	Fair bool `json:"fair"`
	// Callers, Ready, Control, Directory, Peers and Metrics are the addresses to
	// listen on. If one is empty, that endpoint is not served.
	Callers   string `json:"callers"`
	Ready     string `json:"ready"`
	Control   string `json:"control"`
	Directory string `json:"directory"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
	// Bind is the IP address to listen on and to dial from. If empty, the IP addresses
	// above are used. It is needed where ports are forwarded to this host, so that the
	// addresses above are not local.
	Bind string `json:"bind"`
	// Seeds are the addresses of control instances to contact first. Their port for
	// other instances is the port of Peers.
	Seeds []string `json:"seeds"`
	// First is true when the site starts for the first time.
	First bool `json:"first"`
	// Losses is how many control instances may be lost at the same time without losing
	// the quorum.
	Losses int `json:"losses"`
	// Data is the directory for durable state.
	Data string `json:"data"`
	// Grace is how long a planned stop may take.
	Grace table.Duration `json:"grace"`
	// Repeats is the retry budget of all instances together.
	Repeats Repeats `json:"repeats"`
	// Memory is the memory limit of the process in megabytes.
	Memory int64 `json:"memory"`
	// Log is the lowest level that is logged.
	Log string `json:"log"`
}

// Repeats is a retry budget for each pool. It bounds the requests that are sent to a second
// target.
type Repeats struct {
	// In each Window, at most Ratio retries per request are allowed, plus Slack.
	Ratio  float64        `json:"ratio"`
	Slack  float64        `json:"slack"`
	Window table.Duration `json:"window"`
}

// processDefaults returns the default settings of a process.
func processDefaults() Process {
	return Process{
		Grace:   table.Duration(8 * time.Second),
		Repeats: Repeats{Ratio: 0.1, Slack: 10, Window: table.Duration(10 * time.Second)},
		Memory:  256,
		Log:     "info",
	}
}

// LoadProcess reads the settings file of a process, applies the defaults and checks the
// result.
func LoadProcess(path string) (Process, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Process{}, errors.Wrap(err, "read settings")
	}
	p, err := DecodeProcess(b)
	return p, errors.Wrapf(err, "%s", path)
}

// DecodeProcess decodes the settings of a process from JSON with comments, applies the
// defaults and checks the result. Its errors are of type *table.FieldError.
func DecodeProcess(b []byte) (Process, error) {
	p := processDefaults()
	if err := table.DecodeFile(b, &p); err != nil {
		return Process{}, err
	}
	if err := p.Check(); err != nil {
		return Process{}, table.AtLine(b, err)
	}
	return p, nil
}

// Check returns the first invalid setting as a *table.FieldError, or nil.
func (p *Process) Check() error {
	for _, c := range []struct{ field, message string }{
		{"name", checkName(p.Name)},
		{"data_centre", checkName(p.DataCentre)},
		{"regions", checkRegions(p)},
		{"peers", checkAddress(p.Peers)},
		{"seeds", checkSeeds(&Settings{Seeds: p.Seeds})},
		{"callers", checkOptionalAddress(p.Callers)},
		{"ready", checkOptionalAddress(p.Ready)},
		{"control", checkOptionalAddress(p.Control)},
		{"directory", checkOptionalAddress(p.Directory)},
		{"metrics", checkOptionalAddress(p.Metrics)},
		{"bind", checkOptionalIP(p.Bind)},
		{"log", checkLogLevel(&Settings{LogLevel: p.Log})},
		{"losses", errorUnless(p.Losses >= 0, "negative")},
		{"grace", errorUnless(p.Grace > 0, "not positive")},
		{"memory", errorUnless(p.Memory > 0, "not positive")},
		{"repeats.ratio", errorUnless(p.Repeats.Ratio >= 0, "negative")},
		{"repeats.slack", errorUnless(p.Repeats.Slack >= 0, "negative")},
		{"repeats.window", errorUnless(p.Repeats.Window > 0, "not positive")},
		{"data", errorUnless(p.Control == "" || p.Data != "", "missing: required where control is set")},
	} {
		if c.message != "" {
			return &table.FieldError{Field: c.field, Message: c.message}
		}
	}
	return nil
}

// checkRegions reports an empty name. A data centre may be missing, also that of the process: it is
// a region of its own then, and no reason not to start.
func checkRegions(p *Process) string {
	for dataCentre, region := range p.Regions {
		if dataCentre == "" || region == "" {
			return "empty name of a data centre or region"
		}
	}
	return ""
}

func checkOptionalAddress(s string) string {
	if s == "" {
		return ""
	}
	return checkAddress(s)
}

func checkOptionalIP(s string) string {
	return errorUnless(s == "" || net.ParseIP(s) != nil, fmt.Sprintf("%q is not an IP", s))
}

// errorUnless returns message if ok is false, or else "".
func errorUnless(ok bool, message string) string {
	if ok {
		return ""
	}
	return message
}
