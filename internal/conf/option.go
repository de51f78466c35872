package conf

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/trace"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Option is one setting: its name, its meaning, its bounds and its validator.
type Option struct {
	Name string
	Help string
	// Bounds says in words which values are allowed.
	Bounds string
	// check returns what is wrong with the value, or "".
	check func(s *Settings) string
}

const (
	minBodyBytes = 1 << 10
	maxBodyBytes = 1 << 30
)

// Options returns every setting, in the order of the documentation.
func Options() []Option {
	return []Option{
		{
			"name", "Name of the instance, unique in the site.", "no space, no slash",
			func(s *Settings) string { return checkName(s.Name) },
		},
		{
			"data_centre", "Data centre of the instance.", "no space, no slash",
			func(s *Settings) string { return checkName(s.DataCentre) },
		},
		{
			"callers", "Address for callers and targets.", "IP and port",
			func(s *Settings) string { return checkAddress(s.Callers) },
		},
		{
			"peers", "Address for other instances.", "IP and port",
			func(s *Settings) string { return checkAddress(s.Peers) },
		},
		{
			"operators", "Address for operators.", "IP and port",
			func(s *Settings) string { return checkAddress(s.Operators) },
		},
		{"seeds", "Peer addresses of the control instances.", "at least one IP and port", checkSeeds},
		{"control", "Keep the control state on this instance.", "", nil},
		{"replicas", "Peer addresses of the control instances of a new site.", "up to 11 IP and port, none twice", checkReplicas},
		{"data", "Folder for durable state.", "set where control is one of several replicas", checkData},
		{"tables", "File with the tables of a new site.", "", nil},
		{"max_body", "Largest body of a request, in bytes.", fmt.Sprintf("%d to %d", minBodyBytes, maxBodyBytes), checkMaxBody},
		{
			"drain", "Longest wait of a planned stop for requests in progress.",
			fmt.Sprintf("over 0, up to %s", table.MaxTimeLimit), checkDrain,
		},
		{"caller_tokens", "Token file of organisations. With it the organisation comes from the token, " +
			"never from a header. Read anew when it changes.", "", nil},
		{"operator_tokens", "Token file of operators. Read anew when it changes.", "", nil},
		{"target_tokens", "Token file of targets; each name is the pool that the target may join, or `*`. " +
			"Read anew when it changes.", "", nil},
		{"target_credentials", "Credentials file: the tokens that targets want to see with orders. " +
			"Read anew when it changes.", "", nil},
		{"tls_cert", "Certificate of the instance for its peers, in PEM. It names the IP of `peers`. " +
			"Read anew when it changes.", "set with tls_key and tls_ca", checkTLS},
		{"tls_key", "Key of the certificate, in PEM.", "set with tls_cert and tls_ca", nil},
		{"tls_ca", "Certificate authority of all instances, in PEM.", "set with tls_cert and tls_key", nil},
		{
			"trace", "Where spans go: `off`, the path of a file, or the URL of a collector that takes OTLP over HTTP.",
			"off, a path, or http://IP:port or https://IP:port", checkTrace,
		},
		{
			"trace_ratio", "Share of requests that are traced. A caller's own choice goes before it.",
			"0 to 1", checkTraceRatio,
		},
		{"log", "Least level of log lines.", "debug, info, warn or error", checkLogLevel},
	}
}

// Check returns the first fault as a *table.FieldError, or nil.
func (s *Settings) Check() error {
	for _, o := range Options() {
		if o.check == nil {
			continue
		}
		if msg := o.check(s); msg != "" {
			return &table.FieldError{Field: o.Name, Message: msg}
		}
	}
	return nil
}

func checkName(s string) string {
	if s == "" {
		return "missing"
	}
	if strings.ContainsAny(s, " /\t\n") {
		return fmt.Sprintf("%q has a space or a slash", s)
	}
	return ""
}

func checkAddress(s string) string {
	if s == "" {
		return "missing"
	}
	host, _, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP and port", s)
	}
	return ""
}

func checkSeeds(s *Settings) string {
	if len(s.Seeds) == 0 {
		return "missing"
	}
	for _, a := range s.Seeds {
		if msg := checkAddress(a); msg != "" {
			return msg
		}
	}
	return ""
}

func checkData(s *Settings) string {
	if s.Data == "" && s.Control && len(s.Replicas) > 1 {
		return "missing: one of several replicas needs a folder"
	}
	return ""
}

func checkReplicas(s *Settings) string {
	const most = 11
	if n := len(s.Replicas); n > most {
		return fmt.Sprintf("%d addresses; at most %d", n, most)
	}
	for i, a := range s.Replicas {
		if msg := checkAddress(a); msg != "" {
			return msg
		}
		if slices.Contains(s.Replicas[:i], a) {
			return fmt.Sprintf("%s twice", a)
		}
	}
	return ""
}

func checkMaxBody(s *Settings) string {
	if s.MaxBody < minBodyBytes || s.MaxBody > maxBodyBytes {
		return fmt.Sprintf("not between %d and %d", minBodyBytes, maxBodyBytes)
	}
	return ""
}

func checkDrain(s *Settings) string {
	if d := time.Duration(s.Drain); d <= 0 || d > table.MaxTimeLimit {
		return fmt.Sprintf("not between 0 and %s", table.MaxTimeLimit)
	}
	return ""
}

func checkTLS(s *Settings) string {
	set := 0
	for _, f := range []string{s.TLSCert, s.TLSKey, s.TLSCA} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		return "tls_cert, tls_key and tls_ca are set together or not at all"
	}
	return ""
}

func checkTrace(s *Settings) string {
	if err := trace.CheckDestination(s.Trace); err != nil {
		return err.Error()
	}
	return ""
}

func checkTraceRatio(s *Settings) string {
	if s.TraceRatio >= 0 && s.TraceRatio <= 1 {
		return ""
	}
	return "not between 0 and 1"
}

func checkLogLevel(s *Settings) string {
	switch s.Log {
	case "debug", "info", "warn", "error":
		return ""
	default:
		return fmt.Sprintf("%q is not debug, info, warn or error", s.Log)
	}
}
