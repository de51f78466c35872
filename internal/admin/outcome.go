package admin

import (
	"context"

	"github.com/kataras/iris/v12"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// PathOutcome serves the outcome of a call that runs at most once.
const PathOutcome = "/v1/outcome"

// RecordFinder looks up records in the ledger.
type RecordFinder interface {
	// Find returns the record of a call, or nil if there is none.
	Find(ctx context.Context, id ledger.ID) (*ledger.Record, error)
}

// Outcome is the state of a call according to the ledger.
type Outcome struct {
	Organisation string `json:"organisation"`
	Key          string `json:"key"`
	// State is open, ended, lost or free. Free means that no attempt has run and
	// that a new one may.
	State   string       `json:"state"`
	Verdict verd.Verdict `json:"verdict"`
	// Entry is the name of the instance that made the last attempt.
	Entry string `json:"entry,omitempty"`
	// Status is the HTTP status of the target's response, if there was one.
	Status int `json:"status,omitempty"`
}

func (s *Server) outcome(c iris.Context) {
	id := ledger.ID{Organisation: c.URLParam("organisation"), Key: c.URLParam("key")}
	if err := id.Check(); err != nil {
		s.writeError(c, verd.From(err))
		return
	}
	r, err := s.Calls.Find(c.Request().Context(), id)
	if err != nil {
		s.writeError(c, verd.From(err))
		return
	}
	_ = c.JSON(outcomeOf(id, r)) // Fails only if the client has disconnected.
}

// outcomeOf converts a ledger record; nil means that there is none.
func outcomeOf(id ledger.ID, r *ledger.Record) Outcome {
	o := Outcome{Organisation: id.Organisation, Key: id.Key, State: "free", Verdict: verd.NotRun}
	if r == nil || r.State == 0 {
		return o
	}
	o.Verdict, o.Entry = r.Verdict, r.Process.Name
	switch r.State {
	case ledger.Completed:
		o.State = "ended"
	case ledger.Orphaned:
		o.State = "lost"
	default:
		o.State = "open"
	}
	if r.Response != nil {
		o.Status = r.Response.Status
	}
	return o
}
