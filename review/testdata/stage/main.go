package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a run.
const (
	held   = 0
	broken = 1
	unable = 2
)

// scenes are the cases by name. A scene returns whether the rule was broken.
var scenes = map[string]func(ctx context.Context, s *stage) (bool, error){}

// stage is one run of a case.
type stage struct {
	*site
	// trouble is unset for a run without the disruption.
	trouble bool
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 7 && os.Args[1] == "runner" {
		fmt.Fprintln(os.Stderr, runRunner(os.Args[2:]))
		return unable
	}
	if len(os.Args) != 4 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage SCENE BAMBOO RECORD")
		return unable
	}
	mark, err := takeSubnet()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer mark.Close()
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer os.RemoveAll(dir)
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer out.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	defer cancel()
	r := &record{began: time.Now(), out: out}
	st := &stage{site: newSite(dir, os.Args[2], 3, 2, r), trouble: os.Getenv("TROUBLE") != "0"}
	defer st.stopAll()
	r.line("scene %s, trouble %t", os.Args[1], st.trouble)
	isBroken, err := scenes[os.Args[1]](ctx, st)
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return unable
	case isBroken:
		r.line("the rule is broken")
		fmt.Println("the rule is broken")
		return broken
	default:
		r.line("the rule held")
		fmt.Println("the rule held")
		return held
	}
}

// setUp starts the site with a configuration and waits until its entries are ready.
func (s *stage) setUp(ctx context.Context, config any) error {
	if err := s.startAll(true); err != nil {
		return err
	}
	if err := s.putConfig(ctx, config); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// config returns a configuration with a service of engines and a plain one.
func config(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-chat", "host": "site.example", "pathPrefix": "/chat/", "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 300, "priority": 1, "service": "llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 250},
			map[string]any{"name": "r-once", "host": "site.example", "pathPrefix": "/once/", "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "desk", "maxAttempts": 1, "public": false},
			map[string]any{"name": "r-read", "host": "site.example", "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 2, "service": "desk", "maxAttempts": 2, "public": false},
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/health", "maxConnections": 434, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kvCapacityTokens": 405000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 34, "models": []any{map[string]any{"name": "m"}}, "step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048, "report_lag_ms": 200.0, "loadsPerS": 0.0, "loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 11301, "answer": 1266}, "hopMs": 0.1,
			}},
			map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []any{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}
}
