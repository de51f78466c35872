package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"

	"github.com/bambooproxy/bambooproxy/internal/ctrl"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// PathTables serves the tables in force and accepts new ones.
	PathTables = "/v1/tables"
	// PathDiff serves the comparison of submitted tables with those in force.
	PathDiff = "/v1/tables/diff"
	// maxTablesBytes bounds a request body with tables.
	maxTablesBytes = 16 << 20
)

// ChangeApplier submits changes of the tables to the control plane.
type ChangeApplier interface {
	// Apply proposes a change and returns once it is in force or was rejected.
	Apply(ctx context.Context, c ctrl.Change) (ctrl.Outcome, error)
}

// CurrentTables holds the tables in force and their revision.
type CurrentTables struct {
	Revision uint64       `json:"revision"`
	Tables   table.Tables `json:"tables"`
}

// Change is a request to replace the tables.
type Change struct {
	// ID identifies the change so that it can be sent again without being
	// applied twice. If it is empty, the server generates one and returns it.
	ID string `json:"id,omitempty"`
	// Operator is the name of the operator who makes the change. It is ignored
	// where operators need a token: the name then comes from the token.
	Operator string `json:"operator,omitempty"`
	// Base is the revision that the change was prepared against.
	Base   *uint64      `json:"base"`
	Tables table.Tables `json:"tables"`
}

// ChangeResult is the response to an accepted change: its ID and the revision that it created.
type ChangeResult struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// DiffResult lists the differences between submitted tables and those in force.
type DiffResult struct {
	Revision uint64 `json:"revision"`
	// Changes holds one line per changed row.
	Changes []string `json:"changes"`
}

func (s *Server) getTables(c iris.Context) {
	v := s.Members.View()
	if v == nil {
		s.writeError(c, verd.New(verd.NotRun, verd.Unavailable, "no configuration received from the control plane yet"))
		return
	}
	_ = c.JSON(CurrentTables{Revision: v.Revision, Tables: v.Tables}) // Fails only if the client has disconnected.
}

func (s *Server) applyChange(c iris.Context) {
	var req Change
	if err := decodeBody(c, &req); err != nil {
		s.writeError(c, err)
		return
	}
	if req.Base == nil {
		e := verd.New(verd.NotRun, verd.BadRequest, "the revision that the change is based on is missing")
		e.Field = "base"
		s.writeError(c, e)
		return
	}
	if err := req.Tables.CheckPresent(); err != nil {
		s.writeError(c, verd.Wrap(err, verd.NotRun, verd.BadRequest, "tables"))
		return
	}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	ch := ctrl.Change{ID: req.ID, Operator: s.operatorName(c, req.Operator), BaseRevision: *req.Base, Tables: req.Tables}
	out, err := s.Control.Apply(c.Request().Context(), ch)
	if err != nil {
		s.writeError(c, withRetryHint(err, req.ID))
		return
	}
	if out.Revision == 0 {
		s.writeError(c, conflictError(&ch, &out))
		return
	}
	_ = c.JSON(ChangeResult{ID: req.ID, Revision: out.Revision}) // Fails only if the client has disconnected.
}

// operatorName returns the operator that the request's token belongs to, or claimed
// if operators need no token.
func (s *Server) operatorName(c iris.Context, claimed string) string {
	if s.Keys == nil {
		return claimed
	}
	name, _ := s.Keys.Identify(c.Request())
	return name
}

// withRetryHint returns err as a *verd.Error. Unless the verdict proves that the change
// was not accepted, it adds that the change can be sent again with its id.
func withRetryHint(err error, id string) *verd.Error {
	e := *verd.From(err)
	if e.Verdict != verd.NotRun {
		e.Message += fmt.Sprintf("; the change may have been accepted: send it again with the id %s", id)
	}
	return &e
}

// conflictError returns the reason why a change was not accepted.
func conflictError(c *ctrl.Change, out *ctrl.Outcome) *verd.Error {
	winner := out.Conflict
	var msg string
	switch {
	case out.IDReused:
		msg = fmt.Sprintf("the id %s was used for another change", c.ID)
	case winner == nil:
		msg = fmt.Sprintf("revision %d does not exist yet; the newest is %d", c.BaseRevision, out.CurrentRevision)
	case winner.ID == "":
		msg = fmt.Sprintf("the change is based on revision %d, which is outdated; the current revision is %d", c.BaseRevision, out.CurrentRevision)
	default:
		msg = fmt.Sprintf("change %s by %s was made from revision %d before and is revision %d (%s); the newest is %d",
			winner.ID, winner.Operator, c.BaseRevision, winner.Revision, strings.Join(winner.Changed, "; "), out.CurrentRevision)
	}
	return verd.New(verd.NotRun, verd.Conflict, "%s", msg)
}

func (s *Server) diffTables(c iris.Context) {
	var t table.Tables
	if err := decodeBody(c, &t); err != nil {
		s.writeError(c, err)
		return
	}
	if err := cmp.Or(t.CheckPresent(), t.Check()); err != nil {
		s.writeError(c, verd.Wrap(err, verd.NotRun, verd.BadRequest, "tables"))
		return
	}
	v := s.Members.View()
	if v == nil {
		s.writeError(c, verd.New(verd.NotRun, verd.Unavailable, "no configuration received from the control plane yet"))
		return
	}
	p := table.Diff(&v.Tables, &t)
	_ = c.JSON(DiffResult{Revision: v.Revision, Changes: p.Summary()}) // Fails only if the client has disconnected.
}

// decodeBody decodes the JSON body into out. It rejects unknown fields and bodies over
// maxTablesBytes.
func decodeBody(c iris.Context, out any) *verd.Error {
	dec := json.NewDecoder(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxTablesBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(out)
	if err == nil {
		return nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return verd.Wrap(err, verd.NotRun, verd.TooLarge, "decode request body")
	}
	return verd.Wrap(err, verd.NotRun, verd.BadRequest, "decode request body")
}
