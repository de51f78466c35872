package strict

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestHead has one case or more for each rule, and each head whole and byte by byte.
func TestHead(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		sound bool
	}{
		"length":                    {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", true},
		"chunks":                    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"to the end":                {"HTTP/1.1 200 OK\r\nX: y\r\n\r\n", true},
		"to the end in 1.0":         {"HTTP/1.0 200 OK\r\n\r\n", true},
		"length in 1.0":             {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n", true},
		"no reason":                 {"HTTP/1.1 200\r\n\r\n", true},
		"later minor version":       {"HTTP/1.2 200 OK\r\n\r\n", true},
		"line feeds alone":          {"HTTP/1.1 200 OK\nContent-Length: 2\n\n", true},
		"long field":                {"HTTP/1.1 200 OK\r\nA-Name-That-Is-Longer-Than-What-Is-Kept-Of-A-Line: Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		"body like a head":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nContent-Length: 2\r\n folded\r\n", true},
		"empty value":               {"HTTP/1.1 200 OK\r\nX:\r\n\r\n", true},
		"HTTP/2.0":                  {"HTTP/2.0 200 OK\r\n\r\n", false},
		"HTTP/3.7":                  {"HTTP/3.7 200 OK\r\n\r\n", false},
		"chunks in 1.0":             {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"length before chunks":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", false},
		"chunks before length":      {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n", false},
		"folded length":             {"HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\n\r\n", false},
		"folded with a tab":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\tchunked\r\n\r\n", false},
		"another field folded":      {"HTTP/1.1 200 OK\r\nX: y\r\n z\r\n\tw\r\nContent-Length: 2\r\n\r\n", true},
		"folded after status line":  {"HTTP/1.1 200 OK\r\n X: y\r\n\r\n", false},
		"folded, then further ones": {"HTTP/1.1 200 OK\r\nContent-Length:\r\n 2\r\nX: y\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			var whole, single Head
			whole.Add([]byte(c.head))
			for i := range len(c.head) {
				single.Add([]byte{c.head[i]})
			}
			for _, h := range []*Head{&whole, &single} {
				quicktest.Check(t, h.ended, quicktest.IsTrue)
				quicktest.Check(t, h.Err() == nil, quicktest.Equals, c.sound, quicktest.Commentf("%v", h.Err()))
				if !c.sound {
					quicktest.Check(t, h.Err(), quicktest.ErrorIs, ErrMalformed)
				}
			}
		})
	}
}

// FuzzHead guards against a verdict that depends on where the reads of a head end, and against crashes.
func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"), 7)
	f.Add([]byte("HTTP/1.0 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n"), 40)
	f.Fuzz(func(t *testing.T, head []byte, cut int) {
		cut = min(max(0, cut), len(head))
		var whole, parts Head
		whole.Add(head)
		parts.Add(head[:cut])
		parts.Add(head[cut:])
		quicktest.Check(t, parts.Err() == nil, quicktest.Equals, whole.Err() == nil)
		quicktest.Check(t, parts.ended, quicktest.Equals, whole.ended)
	})
}

// BenchmarkHead measures a head of 1 kB.
func BenchmarkHead(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + strings.Repeat("X-Some-Field: some value of usual length\r\n", 23) + "\r\n")
	b.ReportAllocs()
	for b.Loop() {
		var h Head
		h.Add(head)
	}
}
