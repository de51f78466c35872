package entry

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// TestServiceEventsComeAsWritten guards against streams of services that are held back until they are complete: the service writes
// the second event only once the caller has the first one.
func TestServiceEventsComeAsWritten(t *testing.T) {
	s := &Server{Metrics: metrics.NewRegistry()}
	body, service := io.Pipe()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := newExchange(s, w, r)
		x.finish(x.relayResponse(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body}))
	}))
	defer srv.Close()
	const event = "data: e\n\n"
	go io.WriteString(service, event)
	resp, err := srv.Client().Get(srv.URL)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	for range 3 {
		b := make([]byte, len(event))
		_, err = io.ReadFull(r, b)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, string(b), quicktest.Equals, event)
		go io.WriteString(service, event)
	}
	// The last event is still being written.
	_, err = io.ReadFull(r, make([]byte, len(event)))
	quicktest.Assert(t, err, quicktest.IsNil)
	service.Close()
	_, err = r.ReadByte()
	quicktest.Check(t, err, quicktest.Equals, io.EOF)
}
