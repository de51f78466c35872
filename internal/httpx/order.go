package httpx

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// PathOrders is the path that an engine serves commands on.
const PathOrders = "/engine/orders"

var _ engine.Orderer = (*Engine)(nil)

// Order sends a command to the engine at addr and returns once the engine has carried it
// out.
func (e *Engine) Order(ctx context.Context, addr string, c engine.Command) error {
	b, err := json.Marshal(c)
	if err != nil {
		return verd.Wrap(err, verd.NotRun, verd.Internal, "encode command %s", c.ID)
	}
	return e.do(ctx, http.MethodPost, addr, PathOrders, b, nil)
}
