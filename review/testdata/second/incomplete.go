package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// incomplete has the operator send a configuration that has a version and nothing else, beside traffic that the one before it
// allows.
func incomplete(ctx context.Context, s *site, trouble bool) (int, error) {
	f := newFirst(s)
	if err := f.startSite(ctx); err != nil {
		return cantRun, err
	}
	sleep(ctx, 3*time.Second)
	before, served := f.traffic(ctx, f.nodes, 4*time.Second)
	s.rec.logf("before: %d requests sent, %d served", before, served)
	c := config(2)
	if trouble {
		c = object{"version": 2}
	}
	list := controls(f.core...)
	status := putConfig(ctx, s.rec, list, c)
	// configMs is 2,000.
	sleep(ctx, 2*time.Second)
	read, body, _, err := call(newHTTP(time.Second), http.MethodGet, "http://"+list[0]+"/config", nil, nil)
	s.rec.logf("operator: GET /config from %s: %d %s %v", list[0], read, strings.TrimSpace(string(body)), errText(err))
	after, servedAfter := f.traffic(ctx, f.nodes, 8*time.Second)
	s.rec.logf("answer to the second configuration: %d; after it: %d requests sent, %d served, answers by status %v", status, after, servedAfter, f.client.answers)
	var inForce struct{ Version int }
	if err := json.Unmarshal(body, &inForce); err != nil && read == http.StatusOK {
		return cantRun, err
	}
	if trouble {
		// What is invalid is acknowledged, or in force.
		if status == http.StatusOK || inForce.Version == 2 {
			return broken, nil
		}
		return held, nil
	}
	if status != http.StatusOK || servedAfter == 0 {
		return cantRun, fmt.Errorf("the complete configuration was not served")
	}
	return held, nil
}
