package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/caller"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// EntriesTTL is how long callers may cache the list of entries.
	EntriesTTL = 10 * time.Second
	// headerDataCentre carries the caller's data centre.
	headerDataCentre = "Bamboo-Data-Centre"
)

// handleEntries returns the addresses that a caller may use: the serving instances,
// those of its data centre first. Each group is in random order to spread the load.
func (s *Server) handleEntries(w http.ResponseWriter, r *http.Request) {
	v := s.Members.View()
	if v == nil || !s.Members.Live() {
		// Without a valid configuration lease this instance's view may be outdated.
		e := verd.New(verd.NotRun, verd.Unavailable, "instance %s has no valid configuration lease; use another instance", s.Self)
		e.RetryAfter = retryAfter
		writeError(w, e)
		return
	}
	dataCentre := r.Header.Get(headerDataCentre)
	if dataCentre == "" {
		if m, ok := v.Member(s.Self); ok {
			dataCentre = m.DataCentre
		}
	}
	w.Header().Set("Content-Type", "application/json")
	writeJSON(w, caller.Entries{
		Entries:  s.shuffledEntries(v, dataCentre),
		Lifetime: int(EntriesTTL / time.Second),
	})
}

// shuffledEntries returns the serving instances in random order, those of dataCentre
// first.
func (s *Server) shuffledEntries(v *member.View, dataCentre string) []caller.Entry {
	var local, remote []caller.Entry
	for _, i := range rand.Perm(len(v.Members)) {
		m := v.Members[i]
		if m.State != member.Serving || m.Name == s.Self && s.draining.Load() {
			continue
		}
		e := caller.Entry{Addr: m.CallerAddr, DataCentre: m.DataCentre}
		if m.DataCentre == dataCentre {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	return append(local, remote...)
}
