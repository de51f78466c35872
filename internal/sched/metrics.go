package sched

import (
	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/meter"
)

// gaugeNames returns the names of the gauges of a shard, in the order in which
// updateGauges sets them.
func gaugeNames() [4]string {
	return [4]string{"sched.waiting", "sched.granted", "sched.reserved_tokens", "sched.targets"}
}

// updateGauges sets the gauges of the shard.
func (sc *scheduler) updateGauges() {
	if sc.Metrics == nil {
		return
	}
	values := [4]int{sc.core.Waiting(), sc.core.Granted(), sc.core.Reserved(), len(sc.core.Targets())}
	for i, name := range gaugeNames() {
		label := meter.Label(name, "shard", sc.shard.String())
		metrics.GetOrRegisterGauge(label, sc.Metrics).Update(int64(values[i]))
	}
}

// unregisterGauges removes the gauges of the shard, which another instance reports from
// now on.
func (sc *scheduler) unregisterGauges() {
	if sc.Metrics == nil {
		return
	}
	for _, name := range gaugeNames() {
		sc.Metrics.Unregister(meter.Label(name, "shard", sc.shard.String()))
	}
}
