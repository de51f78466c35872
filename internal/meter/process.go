package meter

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bambooproxy/bambooproxy/internal/timing"
)

// sampleEvery is how often the figures of the runtime are read.
const sampleEvery = 5 * time.Second

// Process keeps the figures of this process in a registry: processor time,
// memory, goroutines and pauses.
type Process struct {
	Metrics metrics.Registry
}

// Run reads the figures until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	began := time.Now()
	p.sample(began)
	timing.Every(ctx, sampleEvery, func() { p.sample(began) })
	return nil
}

func (p *Process) sample(began time.Time) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	p.set("process.heap_bytes", int64(m.HeapAlloc))
	p.set("process.memory_bytes", int64(m.Sys-m.HeapReleased))
	p.set("process.goroutines", int64(runtime.NumGoroutine()))
	p.set("process.collections", int64(m.NumGC))
	p.seconds("process.pause_seconds", time.Duration(m.PauseTotalNs))
	p.seconds("process.uptime_seconds", time.Since(began))
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err == nil {
		p.seconds("process.cpu_seconds", time.Duration(u.Utime.Nano()+u.Stime.Nano()))
	}
}

func (p *Process) set(name string, v int64) {
	metrics.GetOrRegisterGauge(name, p.Metrics).Update(v)
}

func (p *Process) seconds(name string, d time.Duration) {
	metrics.GetOrRegisterGaugeFloat64(name, p.Metrics).Update(d.Seconds())
}
