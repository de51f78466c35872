package conf

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestCheckReplicas checks the limits on the list of replicas: valid addresses, no
// duplicates and at most 11.
func TestCheckReplicas(t *testing.T) {
	for _, c := range []struct {
		replicas []string
		want     string
	}{
		{nil, ""},
		{[]string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81"}, ""},
		{[]string{"10.0.0.1:81", "10.0.0.1:81"}, "10.0.0.1:81 is listed twice"},
		{[]string{"control"}, `"control" is not an IP and port`},
		{make([]string, 12), "12 addresses, but at most 11 are allowed"},
	} {
		s := Defaults()
		s.Replicas = c.replicas
		quicktest.Check(t, checkReplicas(&s), quicktest.Equals, c.want)
	}
}
