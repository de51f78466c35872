package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// TestTruncatedAnswerInHTTP10 guards against answers of services that broke off and look complete in
// HTTP/1.0, where the end of the connection ends the answer.
func TestTruncatedAnswerInHTTP10(t *testing.T) {
	s := &Server{Metrics: metrics.NewRegistry()}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := newExchange(s, w, r)
		body := io.MultiReader(strings.NewReader("half"), iotest.ErrReader(errors.New("reset")))
		x.finish(x.relayResponse(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}))
	}))
	defer srv.Close()
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = io.WriteString(c, "GET / "+proto+"\r\nHost: h\r\n\r\n")
		quicktest.Assert(t, err, quicktest.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf("%s", proto))
		c.Close()
	}
}
