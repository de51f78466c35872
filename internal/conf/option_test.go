package conf

import (
	"testing"

	"github.com/frankban/quicktest"
)

func TestCheckReplicas(t *testing.T) {
	for _, c := range []struct {
		replicas []string
		want     string
	}{
		{nil, ""},
		{[]string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81"}, ""},
		{[]string{"10.0.0.1:81", "10.0.0.1:81"}, "10.0.0.1:81 twice"},
		{[]string{"control"}, `"control" is not an IP and port`},
		{make([]string, 12), "12 addresses; at most 11"},
	} {
		s := Defaults()
		s.Replicas = c.replicas
		quicktest.Check(t, checkReplicas(&s), quicktest.Equals, c.want)
	}
}
