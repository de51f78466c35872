package main

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// point is one measured value.
type point struct{ x, y float64 }

// fit is a straight line fitted to points by least squares.
type fit struct {
	// base is the value at x = 0 and slope the increase per unit of x.
	base, slope float64
	// r2 is the share of the variance that the line explains.
	r2 float64
}

// fitLine fits a line to ps. If all points have the same x, the line is flat at their mean.
func fitLine(ps []point) fit {
	var sx, sy, sxx, sxy, syy float64
	for _, p := range ps {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
		syy += p.y * p.y
	}
	n := float64(len(ps))
	vx, vy, cov := n*sxx-sx*sx, n*syy-sy*sy, n*sxy-sx*sy
	if vx == 0 {
		return fit{base: sy / n}
	}
	f := fit{slope: cov / vx, r2: 1}
	f.base = (sy - f.slope*sx) / n
	if vy > 0 {
		f.r2 = cov * cov / (vx * vy)
	}
	return f
}

// at returns the value of the line at x.
func (f fit) at(x float64) float64 { return f.base + f.slope*x }

// report prints series of points with their fits.
type report struct{ out io.Writer }

// printSeries prints the points of one series, their fit and its value at designSize.
func (r *report) printSeries(name, unit, xName string, designSize float64, ps []point) fit {
	f := fitLine(ps)
	var values []string
	for _, p := range ps {
		values = append(values, fmt.Sprintf("%g:%.4g", p.x, p.y))
	}
	fmt.Fprintf(r.out, "%-34s %-8s by %-13s %s\n", name, unit, xName, strings.Join(values, " "))
	fmt.Fprintf(r.out, "%34s fit %.4g + %.4g x, r2 %.3f; at %g: %.4g %s\n", "", f.base, f.slope, f.r2, designSize, f.at(designSize), unit)
	return f
}

// cpuTime returns the CPU time that the process has used, or 0 if it cannot be read.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the bytes of heap in use after a garbage collection. It collects twice
// because sync.Pool keeps its contents through one collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// meanMicros returns the mean duration of f in microseconds, over at least 200 ms of calls.
func meanMicros(f func()) float64 {
	const minDuration = 200 * time.Millisecond
	n := 0
	began := time.Now()
	for time.Since(began) < minDuration {
		f()
		n++
	}
	return float64(time.Since(began).Microseconds()) / float64(n)
}
