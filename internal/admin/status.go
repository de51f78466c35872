package admin

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/kataras/iris/v12"

	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/sched"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// maxConcurrentStatusCalls bounds the instances that one status request calls at the same
// time.
const maxConcurrentStatusCalls = 16

// StatusClient fetches the state of the shards that an instance schedules.
type StatusClient interface {
	// Status calls the instance at the peer address addr.
	Status(ctx context.Context, addr string) ([]sched.Status, error)
}

// Status is the state of the whole site as seen from one instance.
type Status struct {
	// Self is the name of the instance that answered. LeaseValid is true while its
	// configuration lease is valid.
	Self       string     `json:"self"`
	LeaseValid bool       `json:"live"`
	Revision   uint64     `json:"revision"`
	Version    uint64     `json:"version"`
	Instances  []Instance `json:"instances"`
	Shards     []Shard    `json:"shards"`
}

// Instance is an instance of the site and the result of the call for its status.
type Instance struct {
	member.Member
	// Error is the error of the status call, or empty if it succeeded.
	Error string `json:"error,omitempty"`
}

// Shard is the state of a shard.
type Shard struct {
	sched.Status
	// Holder is the instance that holds the lease of the shard.
	Holder string `json:"holder"`
}

func (s *Server) status(c iris.Context) {
	v := s.Members.View()
	if v == nil {
		s.writeError(c, verd.New(verd.NotRun, verd.Unavailable, "no configuration received from the control plane yet"))
		return
	}
	st := &Status{Self: s.Self, LeaseValid: s.Members.Live(), Revision: v.Revision, Version: v.Version}
	s.collectStatus(c.Request().Context(), v, st)
	_ = c.JSON(st) // Fails only if the client has disconnected.
}

// collectStatus fills st with the status of every instance of the view and the
// shards that each one schedules.
func (s *Server) collectStatus(ctx context.Context, v *member.View, st *Status) {
	st.Instances = make([]Instance, len(v.Members))
	statuses := make([][]sched.Status, len(v.Members))
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentStatusCalls)
	for i, m := range v.Members {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			list, err := s.Shards.Status(ctx, m.PeerAddr)
			st.Instances[i].Member = m
			if err != nil {
				st.Instances[i].Error = err.Error()
			}
			statuses[i] = list
		})
	}
	wg.Wait()
	for i, list := range statuses {
		for _, sh := range list {
			st.Shards = append(st.Shards, Shard{Status: sh, Holder: v.Members[i].Name})
		}
	}
	slices.SortFunc(st.Shards, func(a, b Shard) int {
		return cmp.Or(cmp.Compare(a.Shard.String(), b.Shard.String()), cmp.Compare(a.Epoch, b.Epoch))
	})
}
