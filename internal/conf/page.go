package conf

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Page returns the reference page of all settings in Markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("One file an instance: JSON with comments, trailing commas allowed. Unknown keys are refused.\n")
	b.WriteString("`bamboo check FILE` tells the line and field of the first fault.\n\n")
	b.WriteString("| setting | default | allowed | meaning |\n|---|---|---|---|\n")
	defaults := valuesByName(Defaults())
	for _, o := range Options() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", o.Name, codeSpan(defaults[o.Name]), o.Allowed, o.Help)
	}
	return b.String()
}

// valuesByName returns the values of the settings as JSON, keyed by option name.
func valuesByName(s Settings) map[string]json.RawMessage {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // Impossible: all fields can be encoded as JSON.
	}
	var out map[string]json.RawMessage
	if err := json.Unmarshal(b, &out); err != nil {
		panic(err) // Impossible: Marshal wrote a JSON object.
	}
	return out
}

// codeSpan formats a default value as Markdown code. Empty and null values become "".
func codeSpan(v json.RawMessage) string {
	switch string(v) {
	case `""`, "null":
		return ""
	default:
		return "`" + string(v) + "`"
	}
}
