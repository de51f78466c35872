package trail_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/internal/trail"
)

const logs = `
  12.1 edge-a {"time":"2026-01-01T10:00:02.000Z","level":"warn","instance":"edge-a","id":"r1","ask":"edge-a/1/7","status":504,"message":"request ended"}
{"time":"2026-01-01T10:00:01.000Z","level":"info","instance":"core-b","ask":"edge-a/1/7","lead":"i-1","message":"granted"}
{"time":"2026-01-01T10:00:01.500Z","level":"warn","instance":"edge-a","id":"r1","target":"i-1","message":"send failed"}
{"time":"2026-01-01T10:00:01.600Z","level":"info","instance":"edge-a","id":"r2","message":"request ended"}
{"time":"2026-01-01T10:00:01.
plain text`

func ExampleLog_RequestLines() {
	var l trail.Log
	if err := l.Read("a.log", strings.NewReader(logs)); err != nil {
		panic(err)
	}
	for _, x := range l.RequestLines("r1") {
		fmt.Println(x)
	}
	fmt.Println("torn:", l.Malformed["a.log"])
	// Output:
	// 10:00:01.000 core-b               granted ask=edge-a/1/7 lead=i-1
	// 10:00:01.500 edge-a               send failed id=r1 target=i-1
	// 10:00:02.000 edge-a               request ended ask=edge-a/1/7 id=r1 status=504
	// torn: 1
}

// TestRequestLinesOfUnknownID checks that an unknown id gives no lines.
func TestRequestLinesOfUnknownID(t *testing.T) {
	var l trail.Log
	quicktest.Assert(t, l.Read("a.log", strings.NewReader(logs)), quicktest.IsNil)
	quicktest.Assert(t, l.RequestLines("none"), quicktest.HasLen, 0)
}

// FuzzRead checks that Read accepts any input and keeps only lines with a message.
func FuzzRead(f *testing.F) {
	mutate.Add(f, []byte(logs))
	f.Fuzz(func(t *testing.T, b []byte) {
		var l trail.Log
		if err := l.Read("f", strings.NewReader(string(b))); err != nil {
			t.Fatal(err)
		}
		for _, x := range l.Lines {
			if x.Message == "" {
				t.Fatal("a line without a message")
			}
		}
	})
}
