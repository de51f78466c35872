// Package conf defines the settings of an instance or process: their defaults and
// validators, and the decoding of settings files.
package conf

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/trace"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Settings are the settings of one instance.
type Settings struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Callers, Peers and Operators are the addresses to listen on for callers, other
	// instances and operators.
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	// Seeds are the peer addresses of the control instances.
	Seeds []string `json:"seeds"`
	// Control makes this instance a replica of the control state.
	Control bool `json:"control"`
	// Replicas are the peer addresses of the control instances of a new site. If
	// empty, this instance is the only one.
	Replicas []string `json:"replicas"`
	// Data is the directory for durable state.
	Data string `json:"data"`
	// Tables is the path of the file with the initial tables of a new site.
	Tables string `json:"tables"`
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `json:"max_body"`
	// Drain is how long a planned stop waits for in-flight requests.
	Drain table.Duration `json:"drain"`
	// CallerTokens, OperatorTokens and TargetTokens are the paths of token files.
	// Clients of a kind without a token file need no token.
	CallerTokens   string `json:"caller_tokens"`
	OperatorTokens string `json:"operator_tokens"`
	TargetTokens   string `json:"target_tokens"`
	// TargetCredentials is the path of the file with the tokens that targets require.
	TargetCredentials string `json:"target_credentials"`
	// TLSCert, TLSKey and TLSCA are the paths of the PEM files for mutual TLS between
	// instances.
	TLSCert string `json:"tls_cert"`
	TLSKey  string `json:"tls_key"`
	TLSCA   string `json:"tls_ca"`
	// TraceDestination is the destination of spans: off, the path of a file, or a collector URL.
	TraceDestination string `json:"trace"`
	// TraceRatio is the share of requests that are sampled for tracing, from 0 to 1.
	TraceRatio float64 `json:"trace_ratio"`
	// LogLevel is the lowest level that is logged.
	LogLevel string `json:"log"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		MaxBody:          64 << 20,
		Drain:            table.Duration(15 * time.Minute),
		TraceDestination: trace.Off,
		TraceRatio:       0.01,
		LogLevel:         "info",
	}
}

// Load reads a settings file, applies the defaults and checks the result.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, err := Decode(b)
	return s, errors.Wrapf(err, "%s", path)
}

// Decode decodes settings from JSON with comments, applies the defaults and checks the
// result. Its errors are of type *table.FieldError.
func Decode(b []byte) (Settings, error) {
	s := Defaults()
	if err := table.DecodeFile(b, &s); err != nil {
		return Settings{}, err
	}
	if err := s.Check(); err != nil {
		return Settings{}, table.AtLine(b, err)
	}
	return s, nil
}
