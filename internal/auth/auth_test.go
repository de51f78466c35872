package auth

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
)

func discardLogger() *log.Logger { return &log.Logger{Level: log.PanicLevel} }

// writeFile writes a file and sets its modification time from the clock of the synctest
// bubble.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	quicktest.Assert(t, os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil)
	quicktest.Assert(t, os.Chtimes(path, time.Now(), time.Now()), quicktest.IsNil)
}

func tokenFile(name, secret string) string {
	return `{"tokens": [{"name": "` + name + `", "sha256": "` + Hash(secret) + `"}]}`
}

// TestKeysReloadChangedFile checks that a changed token file takes effect without a
// restart and that an invalid one leaves the previous tokens in force.
func TestKeysReloadChangedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "tokens.json")
	synctest.Test(t, func(t *testing.T) {
		writeFile(t, path, tokenFile("levain", "one"))
		k, err := OpenKeys(path, discardLogger())
		quicktest.Assert(t, err, quicktest.IsNil)
		go k.Run(t.Context())
		identify := func(header string) string {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set("Authorization", header)
			name, _ := k.Identify(r)
			return name
		}
		quicktest.Check(t, identify("Bearer one"), quicktest.Equals, "levain")
		quicktest.Check(t, identify("bearer one"), quicktest.Equals, "levain")
		for _, bad := range []string{"", "one", "Bearer", "Bearer ", "Bearer two", "Basic one"} {
			quicktest.Check(t, identify(bad), quicktest.Equals, "", quicktest.Commentf("%q", bad))
		}

		time.Sleep(time.Minute)
		writeFile(t, path, tokenFile("codrescu", "two"))
		time.Sleep(2 * pollInterval)
		quicktest.Check(t, identify("Bearer one"), quicktest.Equals, "")
		quicktest.Check(t, identify("Bearer two"), quicktest.Equals, "codrescu")

		// An invalid file leaves the previous tokens in force.
		time.Sleep(time.Minute)
		writeFile(t, path, `{"tokens": [{"name": "x", "sha256": "12"}]}`)
		time.Sleep(2 * pollInterval)
		quicktest.Check(t, identify("Bearer two"), quicktest.Equals, "codrescu")
	})
}

func TestDecodeErrorsNameLine(t *testing.T) {
	_, err := DecodeTokens([]byte("{\n\"tokens\": [\n{\"name\": \"a\", \"sha265\": \"\"}]}"))
	quicktest.Check(t, err, quicktest.ErrorMatches, "line 3: tokens\\[0\\].sha265: unknown key; did you mean sha256\\?")
	_, err = DecodeTokens([]byte("{\n\"tokens\": [\n{\"name\": \"a\", \"sha256\": \"zz\"}]}"))
	quicktest.Check(t, err, quicktest.ErrorMatches, `line 3: tokens\[0\].sha256: not 64 hexadecimal digits`)
	_, err = DecodeCredentials([]byte("{\"credentials\": [\n{\"targets\": \"all\", \"token\": \"hidden\"}]}"))
	quicktest.Check(t, err, quicktest.ErrorMatches, `line 2: credentials\[0\].targets: not an IP.*`)
}

// TestMostSpecificCredentialIsSent checks that the most specific credential is sent and that
// a target at an address without a credential receives none.
func TestMostSpecificCredentialIsSent(t *testing.T) {
	path := filepath.Join(t.TempDir(), "credentials.json")
	writeFile(t, path, `{"credentials": [
		{"targets": "10.1.0.0/16", "token": "wide"},
		{"targets": "10.1.2.3", "token": "host"},
		{"targets": "10.1.2.3:80", "token": "port"},
	]}`)
	var sent string
	o, err := OpenOrders(path, discardLogger())
	quicktest.Assert(t, err, quicktest.IsNil)
	rt := o.Around(roundTripFunc(func(r *http.Request) { sent = r.Header.Get("Authorization") }))
	for host, want := range map[string]string{
		"10.1.9.9:80":  "Bearer wide",
		"10.1.2.3:81":  "Bearer host",
		"10.1.2.3:80":  "Bearer port",
		"10.2.0.1:80":  "",
		"[::1]:80":     "",
		"10.1.2.3.x:1": "",
	} {
		req := httptest.NewRequest(http.MethodPost, "/", nil)
		req.URL.Host = host
		_, err := rt.RoundTrip(req)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, sent, quicktest.Equals, want, quicktest.Commentf(host))
		quicktest.Check(t, req.Header.Get("Authorization"), quicktest.Equals, "")
	}
}

type roundTripFunc func(*http.Request)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) {
	f(r)
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
}
