package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/inst"
	"github.com/bambooproxy/bambooproxy/internal/trace"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

const (
	callersAddr = "127.9.1.1:8400"
	engineAddr  = "127.9.2.1:8500"
	// concurrentCallers is the number of callers that send at the same time.
	concurrentCallers = 16
	// requestsPerPoint is the number of requests behind each measured point.
	requestsPerPoint = 320
	// idleStreams is the largest number of open streams whose memory is measured.
	idleStreams = 400
)

// bench sends requests through one instance to one simulated engine.
type bench struct {
	ctx    context.Context
	client *http.Client
}

// withInstance starts one instance and an engine that needs the time decode per token,
// runs f and stops both.
func withInstance(ctx context.Context, decode time.Duration, f func(*bench) error) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	dir, err := os.MkdirTemp("", "slope-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	in, err := newInstance(ctx, dir)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	runErr := make(chan error, 1)
	wg.Go(func() { runErr <- in.Run(ctx) })
	t := sampleAnnouncement(0).Target
	t.Addr, t.Memory = engineAddr, 1<<40
	e := &fake.Engine{Target: t, Costs: fake.Costs{Decode: decode}}
	ln, err := net.Listen("tcp", engineAddr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	wg.Go(func() { _ = srv.Serve(ln) })
	a := fake.Announcer{Client: &http.Client{}, Entries: []string{callersAddr}, Target: t, Report: e.Report}
	wg.Go(func() { a.Run(ctx); srv.Close() })
	b := &bench{ctx: ctx, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentCallers}}}
	if err := b.waitReady(runErr); err != nil {
		return err
	}
	return f(b)
}

// newInstance returns an instance that is its own control and keeps its data in dir.
func newInstance(ctx context.Context, dir string) (*inst.Instance, error) {
	t := sampleTables(designModels)
	for i := range t.Routes {
		t.Routes[i].Match.Organisation = ""
	}
	b, err := table.Encode(&t)
	if err != nil {
		return nil, err
	}
	s := conf.Defaults()
	s.Name, s.DataCentre = "instance-0", centreName(0)
	s.Callers, s.Peers, s.Operators = callersAddr, "127.9.1.1:8401", "127.9.1.1:8402"
	s.Seeds, s.Control, s.Data = []string{s.Peers}, true, filepath.Join(dir, "data")
	s.Tables = filepath.Join(dir, "tables.json")
	s.Drain = table.Duration(time.Millisecond)
	if err := os.WriteFile(s.Tables, b, 0o600); err != nil {
		return nil, err
	}
	tp, err := trace.Open(ctx, trace.Place{To: trace.Off})
	if err != nil {
		return nil, err
	}
	return &inst.Instance{Settings: s, Network: inst.TCP{}, Log: quietLogger(), Trace: tp, Incarnation: 1}, nil
}

// waitReady waits until a request through the instance succeeds.
func (b *bench) waitReady(runErr <-chan error) error {
	for {
		if err := b.sendToInstance(1, 1); err == nil {
			return nil
		}
		select {
		case err := <-runErr:
			return errors.Wrap(err, "instance stopped before it was ready")
		case <-b.ctx.Done():
			return b.ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// sendToInstance sends one request through the instance and reads the whole answer.
func (b *bench) sendToInstance(prompt, output int) error {
	body := fmt.Sprintf(`{"model":"model-0","stream":true,"max_tokens":%d,"prompt":%q}`, output, strings.Repeat("log ", prompt))
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+callersAddr+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Bamboo-Organisation", "a")
	return b.do(req, http.StatusOK)
}

// sendToEngine sends the same request straight to the engine, to measure the share of the
// engine and the caller.
func (b *bench) sendToEngine(id string, prompt, output int) error {
	body := strings.Repeat("log ", prompt)
	e := httpx.Engine{Pooled: b.client.Transport, Fresh: b.client.Transport}
	st, err := e.Generate(b.ctx, engineAddr, engine.Generate{
		ID: id, Grant: id, Epoch: 1 << 30, Body: strings.NewReader(body), Size: int64(len(body)), Path: "/v1/completions", PromptTokens: prompt, MaxTokens: output,
	})
	if err != nil {
		return err
	}
	defer st.Close()
	for {
		c, err := st.Next()
		if err != nil || c.End {
			return err
		}
	}
}

// do sends req, reads the whole answer and checks its status.
func (b *bench) do(req *http.Request, want int) error {
	resp, err := b.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != want {
		return errors.Newf("%s %s returned status %d, want %d", req.Method, req.URL, resp.StatusCode, want)
	}
	return nil
}

// cpuPerCall runs f n times, spread over concurrentCallers goroutines, and returns the mean
// CPU time of a call in microseconds.
func cpuPerCall(n int, f func(i int) error) (float64, error) {
	began := cpuTime()
	var wg sync.WaitGroup
	errs := make([]error, concurrentCallers)
	for k := range concurrentCallers {
		wg.Go(func() {
			for i := k; i < n && errs[k] == nil; i += concurrentCallers {
				errs[k] = f(i)
			}
		})
	}
	wg.Wait()
	return float64((cpuTime() - began).Microseconds()) / float64(n), errors.Join(errs...)
}

// measureEntry measures the CPU time of a request against the lengths of its answer and
// prompt, and the memory of open streams.
func measureEntry(ctx context.Context, r *report) error {
	return withInstance(ctx, 0, func(b *bench) error {
		var output, prompt []point
		for _, n := range []int{16, 64, 256, 450} {
			y, err := b.instanceCPU(fmt.Sprint("o", n), 1000, n)
			if err != nil {
				return err
			}
			output = append(output, point{float64(n), y})
		}
		for _, n := range []int{1000, 10_000, 100_000} {
			y, err := b.instanceCPU(fmt.Sprint("p", n), n, 1)
			if err != nil {
				return err
			}
			prompt = append(prompt, point{float64(n), y})
		}
		r.printSeries("entry.cpu.output", "us", "answer tokens", 450, output)
		r.printSeries("entry.cpu.prompt", "us", "prompt tokens", 1000, prompt)
		return b.measureStreams(r)
	})
}

// instanceCPU returns the CPU time, in microseconds, of one request through the instance
// minus that of the same request sent straight to the engine.
func (b *bench) instanceCPU(name string, prompt, output int) (float64, error) {
	n := requestsPerPoint
	if prompt > 50_000 {
		n /= 4
	}
	viaInstance, err := cpuPerCall(n, func(int) error { return b.sendToInstance(prompt, output) })
	if err != nil {
		return 0, err
	}
	viaEngine, err := cpuPerCall(n, func(i int) error { return b.sendToEngine(fmt.Sprintf("%s-%d", name, i), prompt, output) })
	return viaInstance - viaEngine, err
}

// measureStreams measures the memory of in-flight requests, including the part of the caller
// and the engine, which run in the same process.
func (b *bench) measureStreams(r *report) error {
	var memory []point
	for _, n := range []int{0, idleStreams / 4, idleStreams} {
		var wg sync.WaitGroup
		ctx, stop := context.WithCancel(b.ctx)
		began := heapInUse()
		for range n {
			wg.Go(func() {
				body := `{"model":"model-0","stream":true,"max_tokens":1048576,"prompt":"a"}`
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callersAddr+"/v1/completions", strings.NewReader(body))
				if err != nil {
					return
				}
				req.Header.Set("Bamboo-Organisation", "a")
				resp, err := b.client.Do(req)
				if err != nil {
					return
				}
				defer resp.Body.Close()
				<-ctx.Done()
			})
		}
		time.Sleep(2 * time.Second)
		memory = append(memory, point{float64(n), heapInUse() - began})
		stop()
		wg.Wait()
	}
	r.printSeries("entry.memory.stream", "bytes", "streams", 100, memory)
	return nil
}

// measureAnnouncements measures the CPU time and body size of the announcements that
// targets send.
func measureAnnouncements(ctx context.Context, r *report) error {
	return withInstance(ctx, 0, func(b *bench) error {
		var cost, length []point
		for _, n := range []int{500, 1000, 2000} {
			var size int
			y, err := cpuPerCall(n, func(i int) error {
				body, err := json.Marshal(sampleAnnouncement(i % 100))
				if err != nil {
					return err
				}
				size = len(body)
				req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+callersAddr+"/targets", bytes.NewReader(body))
				if err != nil {
					return err
				}
				return b.do(req, http.StatusNoContent)
			})
			if err != nil {
				return err
			}
			cost = append(cost, point{float64(n), y * float64(n)})
			length = append(length, point{float64(n), float64(size * n)})
		}
		r.printSeries("announce.cpu", "us", "announcements", 1, cost)
		r.printSeries("announce.body", "bytes", "announcements", 1, length)
		return nil
	})
}
