package hub

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// The files in testdata that begin with "old-" hold what commit 2fa2628 encodes for the values of
// oldMessages. This made them: scripts/oldmessages.sh 2fa2628

// TestMessagesOfOldBuild decodes messages and records of commit 2fa2628: instances of that build run
// beside new ones during an upgrade, and its records are on their disks. With OLD_MESSAGES set to a
// folder it writes the files instead.
func TestMessagesOfOldBuild(t *testing.T) {
	for name, want := range oldMessages() {
		t.Run(name, func(t *testing.T) {
			file := "old-" + name + ".cbor"
			if folder := os.Getenv("OLD_MESSAGES"); folder != "" {
				b, err := cbor.Marshal(want)
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Assert(t, os.WriteFile(filepath.Join(folder, file), b, 0o600), quicktest.IsNil)
				return
			}
			b, err := os.ReadFile(filepath.Join("testdata", file))
			quicktest.Assert(t, err, quicktest.IsNil)
			got := reflect.New(reflect.TypeOf(want))
			quicktest.Assert(t, cbor.Unmarshal(b, got.Interface()), quicktest.IsNil)
			encoded, err := cbor.Marshal(want)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, encoded, quicktest.DeepEquals, b, quicktest.Commentf("without new fields the bytes must be those of the old build"))
			quicktest.Assert(t, reflect.DeepEqual(got.Elem().Interface(), want), quicktest.IsTrue, quicktest.Commentf("got %+v, want %+v", got.Elem(), want))
		})
	}
}

// oldMessages returns the calls between control instances with all fields that commit 2fa2628 has.
func oldMessages() map[string]any {
	return map[string]any{
		"forward-request": forwardRequest{Commands: [][]byte{[]byte("one"), []byte("two")}},
		"forward-response": forwardResponse{Results: []forwardResult{
			{Value: []byte("result")}, {Error: &verd.Error{Verdict: verd.MayHaveRun, Reason: verd.Timeout, Message: "m", Field: "f", RetryAfter: 1}},
		}},
		"read-index": readIndexResponse{Revision: 7},
	}
}
