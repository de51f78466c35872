package fake

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Orders executes orders like an engine: each order ID at most once.
type Orders struct {
	// IgnoreFencing accepts orders with outdated fencing tokens.
	IgnoreFencing bool

	mu       sync.Mutex
	maxFence uint64
	executed map[string]bool
	orders   []engine.Command
}

// ServeHTTP serves POST on httpx.PathOrders.
func (o *Orders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c engine.Command
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&c); err != nil || c.Check() != nil {
		w.Header().Set(verd.Header, verd.NotRun.String())
		http.Error(w, "request body is not a valid order", http.StatusBadRequest)
		return
	}
	if !o.execute(c) {
		w.Header().Set(verd.Header, verd.NotRun.String())
		http.Error(w, "fencing token of the order is outdated", http.StatusPreconditionFailed)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// maxOrderBytes is the maximum size of the body of an order.
const maxOrderBytes = 64 << 10

var _ http.Handler = (*Orders)(nil)

// execute executes an order unless one with its ID was executed before. It returns false
// if the fencing token of the order is outdated.
func (o *Orders) execute(c engine.Command) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.Fence < o.maxFence && !o.IgnoreFencing {
		return false
	}
	o.maxFence = max(o.maxFence, c.Fence)
	if o.executed[c.ID] {
		return true
	}
	if o.executed == nil {
		o.executed = make(map[string]bool)
	}
	o.executed[c.ID] = true
	o.orders = append(o.orders, c)
	return true
}

// Pool returns the pool in the last LoadModel order that set one, or "" if there was none.
func (o *Orders) Pool() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i := len(o.orders) - 1; i >= 0; i-- {
		if load := o.orders[i].Load; load != nil && load.Pool != "" {
			return load.Pool
		}
	}
	return ""
}

// List returns the executed orders in the order of execution.
func (o *Orders) List() []engine.Command {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]engine.Command(nil), o.orders...)
}

// isOrder reports whether the request sends an order.
func isOrder(r *http.Request) bool {
	return r.Method == http.MethodPost && r.URL.Path == httpx.PathOrders
}
