package meter

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/timing"
)

// sampleInterval is how often the runtime metrics are read.
const sampleInterval = 5 * time.Second

// Process records metrics of this process in a registry: CPU time, memory, goroutines,
// garbage collections and their pauses.
type Process struct {
	Metrics metrics.Registry
}

// Run updates the metrics until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	start := time.Now()
	p.sample(start)
	timing.Every(ctx, sampleInterval, func() { p.sample(start) })
	return nil
}

func (p *Process) sample(start time.Time) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p.setGauge("process.heap_bytes", int64(m.HeapAlloc))
	p.setGauge("process.memory_bytes", int64(m.Sys-m.HeapReleased))
	p.setGauge("process.goroutines", int64(runtime.NumGoroutine()))
	p.setGauge("process.collections", int64(m.NumGC))
	p.setSeconds("process.pause_seconds", time.Duration(m.PauseTotalNs))
	p.setSeconds("process.uptime_seconds", time.Since(start))
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		p.setSeconds("process.cpu_seconds", time.Duration(usage.Utime.Nano()+usage.Stime.Nano()))
	}
}

func (p *Process) setGauge(name string, v int64) {
	metrics.GetOrRegisterGauge(name, p.Metrics).Update(v)
}

func (p *Process) setSeconds(name string, d time.Duration) {
	metrics.GetOrRegisterGaugeFloat64(name, p.Metrics).Update(d.Seconds())
}
