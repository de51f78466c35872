package conf

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Page returns the page of all settings, as markdown.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("One file an instance: JSON with comments, trailing commas allowed. Unknown keys are refused.\n")
	b.WriteString("`bamboo check FILE` tells the line and field of the first fault.\n\n")
	b.WriteString("| setting | default | allowed | meaning |\n|---|---|---|---|\n")
	defaults := valuesByName(Defaults())
	for _, o := range Options() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", o.Name, codeSpan(defaults[o.Name]), o.Bounds, o.Help)
	}
	return b.String()
}

// valuesByName returns the values of settings as JSON, by the names of the options.
func valuesByName(s Settings) map[string]json.RawMessage {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // Settings hold nothing that JSON can't express.
	}
	var out map[string]json.RawMessage
	if err := json.Unmarshal(b, &out); err != nil {
		panic(err) // Marshal wrote an object.
	}
	return out
}

func codeSpan(v json.RawMessage) string {
	switch string(v) {
	case `""`, "null":
		return ""
	default:
		return "`" + string(v) + "`"
	}
}
