package guard

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
)

// TestBodiesThatGrowTogether: bodies that fill the memory in step must not all be refused while
// one after the other would fit.
func TestBodiesThatGrowTogether(t *testing.T) {
	const size, count = 300 << 10, 8
	bodies := Bodies{Limit: 1 << 20}
	type upload struct {
		*Body
		r io.Reader
	}
	var uploads []upload
	for range count {
		uploads = append(uploads, upload{bodies.New(size, size, func() {}), iotest.HalfReader(strings.NewReader(strings.Repeat("x", size)))})
	}
	complete := 0
	for len(uploads) > 0 {
		uploads = slices.DeleteFunc(uploads, func(u upload) bool {
			done, err := u.readSome(u.r)
			if done {
				complete++
			}
			return done || err != nil
		})
	}
	quicktest.Assert(t, complete >= 2 && complete <= 3, quicktest.IsTrue, quicktest.Commentf("%d complete", complete))
}

// TestBodyIsReadWhole: a body arrives as it was sent, with or without a length, and takes no memory afterwards.
func TestBodyIsReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, secondBytes, secondBytes + 1, 1 << 20} {
		sent := bytes.Repeat([]byte("body"), size/4+1)[:size]
		for _, length := range []int64{-1, int64(size)} {
			b := Bodies{Limit: 8 << 20, Weight: 2}
			x := b.New(length, 2<<20, nil)
			_, err := x.ReadFrom(iotest.HalfReader(bytes.NewReader(sent)))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, bytes.Equal(x.Data, sent), quicktest.IsTrue, quicktest.Commentf("%d bytes, length %d", size, length))
			if size >= firstBytes {
				quicktest.Assert(t, b.Used() >= 2*int64(size), quicktest.IsTrue)
			}
			x.Release()
			x.Release()
			quicktest.Assert(t, b.Used(), quicktest.Equals, int64(0))
		}
	}
}

// TestLongestBodyHasRoom: a body of the largest length is read where there is no other, however it grows.
func TestLongestBodyHasRoom(t *testing.T) {
	b := Bodies{Limit: 1 << 20, Weight: 4}
	for _, length := range []int64{-1, b.MaxLength()} {
		x := b.New(length, b.MaxLength(), nil)
		n, err := x.ReadFrom(iotest.HalfReader(bytes.NewReader(make([]byte, b.MaxLength()))))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, n, quicktest.Equals, b.MaxLength())
		x.Release()
	}
	quicktest.Assert(t, b.Used(), quicktest.Equals, int64(0))
}

// TestStalledBodyMakesRoom: a body without progress gives its memory to another one, but not before stallTime, and
// not once it is complete.
func TestStalledBodyMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := Bodies{Limit: 100 << 10}
		read := func(r io.Reader, interrupt func()) (*Body, error) {
			x := b.New(-1, 1<<20, interrupt)
			_, err := x.ReadFrom(r)
			return x, err
		}
		pr, pw := io.Pipe()
		stalled := make(chan error)
		go func() {
			_, err := read(pr, func() { pr.CloseWithError(io.ErrUnexpectedEOF) })
			stalled <- err
		}()
		_, err := pw.Write(make([]byte, 20<<10))
		quicktest.Assert(t, err, quicktest.IsNil)
		whole := func() io.Reader { return strings.NewReader(strings.Repeat("x", 30<<10)) }
		_, err = read(whole(), nil)
		quicktest.Assert(t, errors.Is(err, ErrBodiesFull), quicktest.IsTrue, quicktest.Commentf("the other one makes progress: %v", err))
		time.Sleep(stallTime)
		x, err := read(whole(), nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, errors.Is(<-stalled, ErrBodiesFull), quicktest.IsTrue)
		time.Sleep(time.Hour)
		_, err = read(whole(), nil)
		quicktest.Assert(t, errors.Is(err, ErrBodiesFull), quicktest.IsTrue, quicktest.Commentf("the other one is complete: %v", err))
		x.Release()
		quicktest.Assert(t, b.Used(), quicktest.Equals, int64(0))
	})
}
