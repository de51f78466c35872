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

// Option describes one setting: its name, documentation, allowed values and validator.
type Option struct {
	Name string
	Help string
	// Allowed describes the allowed values in words.
	Allowed string
	// check returns the reason why the value is invalid, or "" if it is valid.
	check func(s *Settings) string
}

const (
	minBodyBytes = 1 << 10
	maxBodyBytes = 1 << 30
)

// Options returns all settings in the order of their documentation.
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
			"off, a path, or http://IP:port or https://IP:port", checkTraceDestination,
		},
		{
			"trace_ratio", "Share of requests that are traced. A caller's own choice goes before it.",
			"0 to 1", checkTraceRatio,
		},
		{"log", "Least level of log lines.", "debug, info, warn or error", checkLogLevel},
	}
}

// Check returns the first invalid setting as a *table.FieldError, or nil.
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

// checkName returns the reason why s is not a valid name, or "".
func checkName(s string) string {
	if s == "" {
		return "missing"
	}
	if strings.ContainsAny(s, " /\t\n") {
		return fmt.Sprintf("%q has a space or a slash", s)
	}
	return ""
}

// checkAddress returns the reason why s is not an IP address and port, or "".
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
	for _, addr := range s.Seeds {
		if msg := checkAddress(addr); msg != "" {
			return msg
		}
	}
	return ""
}

func checkData(s *Settings) string {
	if s.Data == "" && s.Control && len(s.Replicas) > 1 {
		return "missing: required where control is set and replicas lists several addresses"
	}
	return ""
}

func checkReplicas(s *Settings) string {
	const maxReplicas = 11
	if n := len(s.Replicas); n > maxReplicas {
		return fmt.Sprintf("%d addresses, but at most %d are allowed", n, maxReplicas)
	}
	for i, addr := range s.Replicas {
		if msg := checkAddress(addr); msg != "" {
			return msg
		}
		if slices.Contains(s.Replicas[:i], addr) {
			return fmt.Sprintf("%s is listed twice", addr)
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
	n := 0
	for _, path := range []string{s.TLSCert, s.TLSKey, s.TLSCA} {
		if path != "" {
			n++
		}
	}
	if n != 0 && n != 3 {
		return "tls_cert, tls_key and tls_ca must be set together or not at all"
	}
	return ""
}

func checkTraceDestination(s *Settings) string {
	if err := trace.CheckDestination(s.TraceDestination); err != nil {
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
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return ""
	default:
		return fmt.Sprintf("%q is not debug, info, warn or error", s.LogLevel)
	}
}
