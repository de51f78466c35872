package engine

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// TestAddressOfTarget guards against targets with an address that nobody can connect to.
func TestAddressOfTarget(t *testing.T) {
	for addr, valid := range map[string]bool{
		"10.0.0.1:80": true, "[::1]:80": true, "10.0.0.1:65535": true,
		"10.0.0.1:0": false, "10.0.0.1:65536": false, "10.0.0.1:99999": false, "10.0.0.1:-1": false, "10.0.0.1:http": false,
		"10.0.0.1:": false, "10.0.0.1": false, "runner:80": false, "10.0.0.1:80\r\nx": false, "": false,
	} {
		target := Target{Name: "a", Addr: addr, DataCentre: "dc", Pool: "p", Kind: table.Service}
		quicktest.Check(t, target.Check() == nil, quicktest.Equals, valid, quicktest.Commentf("%q", addr))
	}
}
