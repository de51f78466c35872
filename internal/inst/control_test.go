package inst

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/ctrl"
	"github.com/bambooproxy/bambooproxy/internal/store"
	"github.com/bambooproxy/bambooproxy/internal/trace"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// cluster is a site of three instances that each run a replica of the control plane.
type cluster struct {
	*site
	instances [3]*Instance
	files     [3]*store.Mem
	// stopped is closed when the instance has returned.
	stopped [3]chan struct{}
	cancel  [3]context.CancelFunc
	// incarnation counts the starts of all instances.
	incarnation uint64
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{site: newSite(t)}
	c.announceAddrs = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}
	for n := range c.instances {
		c.files[n] = &store.Mem{}
		c.start(n)
	}
	return c
}

func peerAddr(n int) string { return fmt.Sprintf("10.0.0.%d:81", n+1) }

// start starts instance n on the files of its previous run.
func (c *cluster) start(n int) {
	c.incarnation++
	set := conf.Defaults()
	set.Name = fmt.Sprintf("i%d", n+1)
	set.DataCentre = "dakar-a"
	set.Callers = fmt.Sprintf("10.0.0.%d:80", n+1)
	set.Peers = peerAddr(n)
	set.Operators = fmt.Sprintf("10.0.0.%d:82", n+1)
	set.Seeds = []string{peerAddr(0), peerAddr(1), peerAddr(2)}
	set.Replicas = set.Seeds
	set.Control = true
	set.Data = "/data"
	set.Drain = table.Duration(time.Millisecond)
	set.Tables = "testdata/tables.json"
	quicktest.Assert(c.t, set.Check(), quicktest.IsNil)
	tp := sdktrace.NewTracerProvider(sdktrace.WithSyncer(c.spans))
	i := &Instance{
		Settings: set, Network: hostNetwork{c.net, set.Peers}, FS: c.files[n], Incarnation: c.incarnation, Seed: 1,
		Log: &log.Logger{Level: log.PanicLevel}, Trace: &trace.Provider{TracerProvider: tp, Shutdown: tp.Shutdown},
	}
	stopped := make(chan struct{})
	c.instances[n], c.stopped[n] = i, stopped
	c.cancel[n] = c.run(func(ctx context.Context) {
		defer close(stopped)
		if err := i.Run(ctx); err != nil {
			c.t.Errorf("instance %s: %v", set.Name, err)
		}
	})
}

// isolate drops all traffic between instance n and the other two.
func (c *cluster) isolate(n int) {
	for other := range c.instances {
		if other != n {
			c.net.Cut(peerAddr(n), peerAddr(other))
		}
	}
}

// heal ends the isolation of instance n.
func (c *cluster) heal(n int) {
	for other := range c.instances {
		c.net.Heal(peerAddr(n), peerAddr(other))
	}
}

// crash stops instance n and discards its unsynced writes. The instance is isolated
// meanwhile, so that nothing that it does to stop gracefully reaches the others.
func (c *cluster) crash(n int) {
	c.isolate(n)
	c.cancel[n]()
	<-c.stopped[n]
	c.files[n].Crash(0)
	c.heal(n)
}

// leader waits for a leader of the control plane other than instance except, and returns
// its index. An except of -1 allows any.
func (c *cluster) leader(except int) int {
	c.t.Helper()
	for range 200 {
		synctest.Wait()
		for n, i := range c.instances {
			ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Millisecond)
			err := i.replica.node.Barrier(ctx)
			cancel()
			if err == nil && n != except {
				return n
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatal("no leader of the control plane after 200 attempts")
	return 0
}

// addPool changes the tables through instance n: it adds a pool named id, with id as the
// change's ID and base as the revision that it is based on. It returns the new revision.
func (c *cluster) addPool(n int, id string, base uint64) uint64 {
	c.t.Helper()
	t, err := loadInitialTables("testdata/tables.json")
	quicktest.Assert(c.t, err, quicktest.IsNil)
	t.Pools = append(t.Pools, table.Pool{Name: id, Kind: table.Service})
	out, err := c.instances[n].controlClient.Apply(c.t.Context(), ctrl.Change{ID: id, Operator: "awa", BaseRevision: base, Tables: *t})
	quicktest.Assert(c.t, err, quicktest.IsNil)
	return out.Revision
}

// revision returns the revision of the tables that instance n uses, and whether its lease
// is live, so that it may accept requests.
func (c *cluster) revision(n int) (uint64, bool) {
	v := c.instances[n].agent.View()
	if v == nil {
		return 0, false
	}
	return v.Revision, c.instances[n].agent.Live()
}

// postCompletion sends a completion request to instance n and returns the exchange as
// text.
func (c *cluster) postCompletion(n int) string {
	return c.do(http.MethodPost, fmt.Sprintf("http://10.0.0.%d:80/v1/completions", n+1),
		`{"model":"starter","max_tokens":2,"prompt":"Rye?"}`, "Bamboo-Organisation", "levain")
}

// checkServes checks that instance n answers a completion request with status 200.
func (c *cluster) checkServes(n int) {
	c.t.Helper()
	exchange := c.postCompletion(n)
	quicktest.Check(c.t, strings.Contains(exchange, "< 200\n"), quicktest.IsTrue, quicktest.Commentf("%s", exchange))
}

// others returns the indexes of the instances except n.
func others(n int) []int {
	return slices.DeleteFunc([]int{0, 1, 2}, func(other int) bool { return other == n })
}

// withCluster runs a test on a cluster with one engine, once the cluster is ready.
func withCluster(t *testing.T, run func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.startEngine(1, "dakar-a")
		time.Sleep(5 * time.Second)
		run(t, c)
	})
}

// TestControlLeaderLost crashes the leader of the control plane between two changes of
// the tables. The other replicas must accept the second change, and the crashed one must
// catch up and serve requests after its restart.
func TestControlLeaderLost(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		leader := c.leader(-1)
		rev := c.addPool(leader, "first-change", 1)
		c.crash(leader)
		next := others(leader)[0]
		rev = c.addPool(next, "second-change", rev)
		quicktest.Check(t, rev, quicktest.Equals, uint64(3))
		c.start(leader)
		time.Sleep(10 * time.Second)
		for n := range c.instances {
			revision, live := c.revision(n)
			quicktest.Check(t, live, quicktest.IsTrue)
			quicktest.Check(t, revision, quicktest.Equals, uint64(3))
			c.checkServes(n)
		}
	})
}

// TestControlLeaderIsolated isolates the leader of the control plane for minutes, without
// closing its connections. It must refuse requests and keep its old tables meanwhile, the
// majority must go on, and the old leader must catch up once it is reachable again.
func TestControlLeaderIsolated(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		old := c.leader(-1)
		rev := c.addPool(old, "before", 1)
		c.isolate(old)
		next := others(old)[0]
		for k := range 3 {
			rev = c.addPool(next, fmt.Sprint("while-cut-", k), rev)
			time.Sleep(time.Minute)
			revision, live := c.revision(old)
			quicktest.Check(t, revision, quicktest.Equals, uint64(2))
			quicktest.Check(t, live, quicktest.IsFalse)
			quicktest.Check(t, c.postCompletion(old), quicktest.Contains, "not-run")
			c.checkServes(next)
		}
		c.heal(old)
		time.Sleep(10 * time.Second)
		for n := range c.instances {
			revision, live := c.revision(n)
			quicktest.Check(t, live, quicktest.IsTrue)
			quicktest.Check(t, revision, quicktest.Equals, uint64(5))
		}
		quicktest.Check(t, c.addPool(old, "after", rev), quicktest.Equals, uint64(6))
	})
}

// TestControlAllRestarted crashes all instances and starts them again. The tables must
// survive, and a change that is sent again must return its first result.
func TestControlAllRestarted(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		rev := c.addPool(0, "before", 1)
		for n := range c.instances {
			c.crash(n)
		}
		for n := range c.instances {
			c.start(n)
		}
		time.Sleep(10 * time.Second)
		for n := range c.instances {
			revision, _ := c.revision(n)
			quicktest.Check(t, revision, quicktest.Equals, rev)
		}
		quicktest.Check(t, c.addPool(1, "before", 1), quicktest.Equals, rev)
		quicktest.Check(t, c.addPool(2, "after", rev), quicktest.Equals, rev+1)
	})
}

// TestControlDiskLost restarts one instance with an empty disk, lets it recover and
// crashes another one. The recovered replica must count towards the majority, or no
// change succeeds.
func TestControlDiskLost(t *testing.T) {
	withCluster(t, func(t *testing.T, c *cluster) {
		rev := c.addPool(0, "before", 1)
		c.crash(0)
		c.files[0] = &store.Mem{}
		c.start(0)
		time.Sleep(10 * time.Second)
		c.crash(1)
		quicktest.Check(t, c.addPool(0, "after", rev), quicktest.Equals, rev+1)
	})
}
