// Package admin serves the operators' HTTP API.
package admin

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/auth"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Server serves the operators' API of one instance.
type Server struct {
	// Self is the name of this instance.
	Self    string
	Members member.ViewSource
	Metrics metrics.Registry
	// Replicas reads and changes the set of control-state replicas.
	Replicas ReplicaManager
	// Keys verifies the operators' tokens. If nil, no token is required.
	Keys *auth.Keys
	// Shards fetches the shard state of every instance.
	Shards StatusClient
	// Drain starts a planned stop of this instance.
	Drain func()
	// Control applies changes of the tables.
	Control ChangeApplier
	// Calls looks up records in the ledger of calls that run at most once.
	Calls RecordFinder
}

// Handler returns the HTTP handler of the API. /healthz and /readyz need no token.
func (s *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/healthz", s.health)
	app.Get("/readyz", s.ready)
	authorised := app.Party("/", s.requireToken)
	authorised.Get("/metrics", s.metrics)
	authorised.Get("/v1/view", s.view)
	authorised.Get("/v1/status", s.status)
	authorised.Post("/v1/drain", s.drain)
	authorised.Get(PathReplicas, s.listReplicas)
	authorised.Post(PathReplicas, s.changeReplicas)
	authorised.Get(PathTables, s.getTables)
	authorised.Put(PathTables, s.applyChange)
	authorised.Post(PathDiff, s.diffTables)
	authorised.Get(PathOutcome, s.outcome)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build operators' HTTP routes")
	}
	return app, nil
}

// requireToken rejects requests without a valid token, unless no token is required.
func (s *Server) requireToken(c iris.Context) {
	if s.Keys == nil {
		c.Next()
		return
	}
	if _, ok := s.Keys.Identify(c.Request()); !ok {
		s.writeError(c, verd.New(verd.NotRun, verd.Denied, "unknown or missing token"))
		return
	}
	c.Next()
}

// writeError writes the error response and stops the handler chain.
func (s *Server) writeError(c iris.Context, e *verd.Error) {
	c.StatusCode(e.Reason.Status())
	c.Header(verd.Header, e.Verdict.String())
	_ = c.JSON(e) // Fails only if the client has disconnected.
	c.StopExecution()
}

func (s *Server) health(c iris.Context) { c.WriteString("ok\n") }

func (s *Server) ready(c iris.Context) {
	if !s.Members.Live() {
		c.StatusCode(http.StatusServiceUnavailable)
		c.WriteString("no configuration lease\n")
		return
	}
	c.WriteString("ok\n")
}

func (s *Server) view(c iris.Context) {
	v := s.Members.View()
	if v == nil {
		s.writeError(c, verd.New(verd.NotRun, verd.Unavailable, "no configuration received from the control plane yet"))
		return
	}
	_ = c.JSON(v) // Fails only if the client has disconnected.
}

func (s *Server) metrics(c iris.Context) {
	c.ContentType(meter.ContentType)
	_ = meter.Write(c.ResponseWriter(), s.Metrics) // Fails only if the client has disconnected.
}

func (s *Server) drain(c iris.Context) {
	s.Drain()
	c.StatusCode(http.StatusAccepted)
	_ = c.JSON(DrainResult{Instance: s.Self}) // Fails only if the client has disconnected.
}

// DrainResult is the response to a request to drain.
type DrainResult struct {
	// Instance is the name of the instance that drains.
	Instance string `json:"instance"`
}
