package inst

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bambooproxy/bambooproxy/internal/ctrl"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/wire"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// controlDir is the subdirectory of the data directory that holds the control plane's
// log.
const controlDir = "control"

// replica is this instance's replica of the control plane's log. It has its own connection
// pool, so that it isn't delayed when calls of other components wait on silent
// connections.
type replica struct {
	node *quorum.Node
	pool *wire.Pool
}

// buildControl sets up the control plane server of this instance.
func (i *Instance) buildControl(self member.Process) error {
	t, err := loadInitialTables(i.Settings.Tables)
	if err != nil {
		return err
	}
	machine := &ctrl.Machine{}
	i.controlServer = &ctrl.Server{
		Tables: *t, Self: self, Machine: machine, Log: i.Log, Replicated: i.newControlLog(machine),
	}
	return nil
}

// newControlLog returns the log that drives machine. Without a data directory the log is
// neither replicated nor stored and ends with the process.
func (i *Instance) newControlLog(machine quorum.StateMachine) quorum.ReplicatedLog {
	s := i.Settings
	if s.Data == "" {
		return &ctrl.MemoryLog{Machine: machine, Addr: s.Peers}
	}
	fsys := i.FS
	if fsys == nil {
		fsys = store.OS{}
	}
	pool := &wire.Pool{Dial: i.secrets.peerNetwork.Dial, Self: s.Peers, Local: i.peerPool.Local}
	node := &quorum.Node{
		Addr: s.Peers, InitialMembers: s.Replicas, DataDir: filepath.Join(s.Data, controlDir),
		FS: fsys, Machine: machine, Calls: pool, Log: i.Log, Seed: i.Seed,
	}
	i.replica = &replica{node: node, pool: pool}
	return node
}

func (i *Instance) controlMethods() []wire.Method {
	if i.replica == nil {
		return i.controlServer.Methods()
	}
	return append(i.controlServer.Methods(), i.replica.node.Methods()...)
}

// runControl starts the control plane server and, if it is replicated, its replica.
func (i *Instance) runControl(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return i.controlServer.Run(ctx) })
	if r := i.replica; r != nil {
		g.Go(func() error { return errors.CombineErrors(r.node.Run(ctx), r.pool.Close()) })
	}
}

// loadInitialTables reads the tables of a new site. An empty path means empty
// tables.
func loadInitialTables(path string) (*table.Tables, error) {
	if path == "" {
		return &table.Tables{}, nil
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read initial tables")
	}
	t, err := table.Decode(b)
	return t, errors.Wrapf(err, "decode initial tables %s", path)
}
