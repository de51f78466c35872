package crowd

import "testing"

// TestCalm checks the harness: without a crowd, the processes serve within their limits.
func TestCalm(t *testing.T) { newSite(t).check() }
