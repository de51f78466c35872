package admin

import (
	"context"

	"github.com/kataras/iris/v12"

	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// PathReplicas serves the list of control-state replicas and accepts changes to it.
const PathReplicas = "/v1/replicas"

// ReplicaManager reads and changes the set of control-state replicas.
type ReplicaManager interface {
	Report(ctx context.Context) (quorum.Report, error)
	ChangeMembers(ctx context.Context, o quorum.ChangeRequest) error
}

func (s *Server) listReplicas(c iris.Context) {
	r, err := s.Replicas.Report(c.Request().Context())
	if err != nil {
		s.writeError(c, verd.From(err))
		return
	}
	_ = c.JSON(r)
}

func (s *Server) changeReplicas(c iris.Context) {
	var o quorum.ChangeRequest
	if err := c.ReadJSON(&o); err != nil {
		s.writeError(c, verd.Wrap(err, verd.NotRun, verd.BadRequest, "decode change of replicas"))
		return
	}
	if err := s.Replicas.ChangeMembers(c.Request().Context(), o); err != nil {
		s.writeError(c, verd.From(err))
		return
	}
	s.listReplicas(c)
}
