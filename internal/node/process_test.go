package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/memnet"
)

const sampleSettings = `{
  "name": "edge-a-1",
  "data_centre": "a",
  "callers": "10.1.0.40:8227",
  "peers": "10.1.0.40:7340",
  "seeds": ["10.1.0.43:8229"]
}`

// TestPeerAddrs checks that control addresses become peer addresses, sorted and without
// duplicates or addresses that lack a port.
func TestPeerAddrs(t *testing.T) {
	p := &Process{Settings: conf.Process{Peers: "10.1.0.40:7340"}}
	got := p.peerAddrs([]string{"10.2.0.1:8229", "10.1.0.43:8229", "10.2.0.1:8230", "no port"})
	quicktest.Assert(t, got, quicktest.DeepEquals, []string{"10.1.0.43:7340", "10.2.0.1:7340"})
}

// TestWatchSettings replaces the seeds in the settings file without a signal. An invalid
// file must be logged and must neither change anything nor prevent the next valid file
// from being applied.
func TestWatchSettings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "settings")
		write := func(text string) {
			quicktest.Assert(t, os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil)
		}
		write(sampleSettings)
		s, err := conf.LoadProcess(path)
		quicktest.Assert(t, err, quicktest.IsNil)
		out := &bytes.Buffer{}
		p := &Process{Settings: s, Path: path, Log: &log.Logger{Writer: &log.IOWriter{Writer: out}}}
		p.setup()

		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- p.watchSettings(ctx) }()
		// nextLogLines returns what is logged when the file is next polled.
		nextLogLines := func() string {
			time.Sleep(settingsPollInterval)
			synctest.Wait()
			defer out.Reset()
			return out.String()
		}

		quicktest.Check(t, nextLogLines(), quicktest.Equals, "", quicktest.Commentf("the file is unchanged"))
		write(strings.Replace(sampleSettings, "10.1.0.43", "", 1))
		quicktest.Check(t, nextLogLines(), quicktest.Contains, "settings not reloaded, keeping the current ones")
		write(strings.Replace(sampleSettings, "10.1.0.43", "10.1.0.99", 1))
		quicktest.Check(t, nextLogLines(), quicktest.Contains, `"seeds":["10.1.0.99:8229"]`)
		quicktest.Check(t, nextLogLines(), quicktest.Equals, "", quicktest.Commentf("the change is already applied"))
		cancel()
		quicktest.Assert(t, <-done, quicktest.IsNil)
	})
}

// TestControlClosesUnusedConnections guards against control instances that run out of file descriptors: targets
// keep the connections to all instances that they have called. One on which heartbeats come stays open.
func TestControlClosesUnusedConnections(t *testing.T) {
	const heartbeatInterval = 1200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		ln, err := network.Listen("10.0.0.1:80")
		quicktest.Assert(t, err, quicktest.IsNil)
		open := make(map[string]bool)
		var mu sync.Mutex
		srv := newHTTPServer(http.NotFoundHandler(), controlIdleTimeout, func(c net.Conn, s http.ConnState) {
			mu.Lock()
			defer mu.Unlock()
			open[c.RemoteAddr().String()] = s != http.StateClosed
		})
		go srv.Serve(ln)
		defer srv.Close()
		transport := func(from string) *http.Transport {
			return &http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return network.Dialer(from)(ctx, addr) }}
		}
		left, used := transport("10.1.0.1:1"), transport("10.1.0.2:1")
		beat := func(tr *http.Transport) {
			resp, err := (&http.Client{Transport: tr}).Get("http://10.0.0.1:80/")
			quicktest.Assert(t, err, quicktest.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			quicktest.Assert(t, err, quicktest.IsNil)
			resp.Body.Close()
		}
		beat(left)
		for range 2 * controlIdleTimeout / heartbeatInterval {
			beat(used)
			time.Sleep(heartbeatInterval)
		}
		mu.Lock()
		quicktest.Check(t, open, quicktest.DeepEquals, map[string]bool{"10.1.0.1:1": false, "10.1.0.2:1": true})
		mu.Unlock()
		used.CloseIdleConnections()
		left.CloseIdleConnections()
	})
}
