package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// runnerProcess is a stand-in for a runner in a process of its own, so that it can crash.
type runnerProcess struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// startRunner starts the command "stage runner".
func (s *site) startRunner(id, service, addr string, events int) (*runnerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	var controls []string
	for _, c := range s.controls {
		controls = append(controls, c.host)
	}
	cmd := exec.Command(self, "runner", id, service, addr, strconv.Itoa(events), strings.Join(controls, ","))
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &runnerProcess{cmd, make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	s.record.line("runner %s started at %s", id, addr)
	return p, nil
}

func (p *runnerProcess) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// runRunner is the command "runner". It answers each request with a stream of numbered events, one every 100 ms, without a
// length and without chunks: the answer ends with its connection.
func runRunner(args []string) error {
	id, service, addr := args[0], args[1], args[2]
	events, err := strconv.Atoi(args[3])
	if err != nil {
		return err
	}
	s := &site{}
	for _, c := range strings.Split(args[4], ",") {
		s.controls = append(s.controls, &process{host: c})
	}
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	r := &runner{id: id, service: service, addr: addr, site: s, born: time.Now().UnixMilli()}
	r.handler = func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer nc.Close()
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBambooproxy-Attempt-Id: %s\r\nBambooproxy-Runner-Seal: seal.%s\r\nConnection: close\r\n\r\n", q.Header.Get("Bambooproxy-Attempt-Id"), id)
		for i := last + 1; i <= events; i++ {
			if _, err := fmt.Fprintf(nc, "id: %d\ndata: piece %d of %d\n\n", i, i, events); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	go r.beat(context.Background())
	return http.Serve(ln, r)
}
