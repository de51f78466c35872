package gate

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/meter"
)

// recordMetrics updates the metrics for a finished request.
func (s *Server) recordMetrics(x *exchange, took time.Duration) {
	kind := "none"
	if x.pool != nil {
		kind = "plain"
		if x.pool.Engine != nil {
			kind = "engine"
		}
	}
	metrics.GetOrRegisterCounter(meter.Label("gate."+kind, "status", strconv.Itoa(x.status)), s.Metrics).Inc(1)
	meter.Times(meter.Label("gate.whole", "kind", kind), s.Metrics).Update(int64(took))
	if x.isRefused() {
		metrics.GetOrRegisterCounter(meter.Label("gate.refusals", "reason", x.reason), s.Metrics).Inc(1)
	}
	if x.truncated {
		metrics.GetOrRegisterCounter(meter.Label("gate.truncated", "kind", kind), s.Metrics).Inc(1)
	}
	if x.eventCount > 0 {
		meter.Times(meter.Label("gate.first_event", "kind", kind), s.Metrics).Update(int64(x.firstEvent))
	}
	if x.engineCount > 0 {
		meter.Times("gate.wait", s.Metrics).Update(int64(x.queueTime))
	}
	if x.sends > 1 {
		metrics.GetOrRegisterCounter("gate.repeats", s.Metrics).Inc(int64(x.sends - 1))
	}
}
