package fake

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// Service simulates a plain service that counts the executions of each call.
type Service struct {
	Target engine.Target

	mu   sync.Mutex
	runs map[string]int
}

// ServeHTTP executes a call, which the header Idempotency-Key identifies.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, "request body could not be read", http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[key]++
	run := s.runs[key]
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, "{\"path\":%q,\"run\":%d}\n", r.URL.Path, run)
}

// Runs returns how often the call with the key was executed.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}
