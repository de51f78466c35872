package conf

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Process are the settings of one process of a site whose entries and control
// instances are processes of their own.
type Process struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Callers, Ready, Control, Directory, Peers and Metrics are the addresses to
	// listen on; an empty one is not served.
	Callers   string `json:"callers"`
	Ready     string `json:"ready"`
	Control   string `json:"control"`
	Directory string `json:"directory"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
	// Bind is the IP to listen on and to call from; "" means those of the addresses
	// above. It differs from them where ports are forwarded to this host.
	Bind string `json:"bind"`
	// Seeds are addresses of control instances to begin with; their port for
	// other instances is that of Peers.
	Seeds []string `json:"seeds"`
	// First says that the site starts for the first time.
	First bool `json:"first"`
	// Losses is how many control instances may be lost at once.
	Losses int `json:"losses"`
	// Data is the folder for durable state.
	Data string `json:"data"`
	// Grace is how long a planned stop may take.
	Grace table.Duration `json:"grace"`
	// Repeats bound what all instances send to a second target.
	Repeats Repeats `json:"repeats"`
	// Memory is what the process may use, in megabytes.
	Memory int64 `json:"memory"`
	// Log is the least level of log lines.
	Log string `json:"log"`
}

// Repeats bound the requests that are sent to a second target, for each pool.
type Repeats struct {
	// Ratio is the repeats for each request, Slack those beside, in each Window.
	Ratio  float64        `json:"ratio"`
	Slack  float64        `json:"slack"`
	Window table.Duration `json:"window"`
}

// processDefaults returns settings with every default filled in.
func processDefaults() Process {
	return Process{
		Grace:   table.Duration(8 * time.Second),
		Repeats: Repeats{Ratio: 0.1, Slack: 10, Window: table.Duration(10 * time.Second)},
		Memory:  256,
		Log:     "info",
	}
}

// LoadProcess reads, completes and checks the settings file of a process.
func LoadProcess(path string) (Process, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Process{}, errors.Wrap(err, "settings")
	}
	p, err := DecodeProcess(b)
	return p, errors.Wrapf(err, "%s", path)
}

// DecodeProcess reads the settings of a process from JSON with comments. Its
// errors about the content are of type *table.FieldError.
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

// Check returns the first fault as a *table.FieldError, or nil.
func (p *Process) Check() error {
	for _, c := range []struct{ field, fault string }{
		{"name", checkName(p.Name)},
		{"data_centre", checkName(p.DataCentre)},
		{"peers", checkAddress(p.Peers)},
		{"seeds", checkSeeds(&Settings{Seeds: p.Seeds})},
		{"callers", checkOptionalAddress(p.Callers)},
		{"ready", checkOptionalAddress(p.Ready)},
		{"control", checkOptionalAddress(p.Control)},
		{"directory", checkOptionalAddress(p.Directory)},
		{"metrics", checkOptionalAddress(p.Metrics)},
		{"bind", checkOptionalIP(p.Bind)},
		{"log", checkLogLevel(&Settings{Log: p.Log})},
		{"losses", faultUnless(p.Losses >= 0, "negative")},
		{"grace", faultUnless(p.Grace > 0, "not positive")},
		{"memory", faultUnless(p.Memory > 0, "not positive")},
		{"repeats.ratio", faultUnless(p.Repeats.Ratio >= 0, "negative")},
		{"repeats.slack", faultUnless(p.Repeats.Slack >= 0, "negative")},
		{"repeats.window", faultUnless(p.Repeats.Window > 0, "not positive")},
		{"data", faultUnless(p.Control == "" || p.Data != "", "missing: control needs a folder")},
	} {
		if c.fault != "" {
			return &table.FieldError{Field: c.field, Message: c.fault}
		}
	}
	return nil
}

func checkOptionalAddress(s string) string {
	if s == "" {
		return ""
	}
	return checkAddress(s)
}

func checkOptionalIP(s string) string {
	return faultUnless(s == "" || net.ParseIP(s) != nil, fmt.Sprintf("%q is not an IP", s))
}

func faultUnless(ok bool, fault string) string {
	if ok {
		return ""
	}
	return fault
}
