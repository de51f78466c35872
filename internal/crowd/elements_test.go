package crowd

import (
	"reflect"
	"testing"

	"github.com/bambooproxy/bambooproxy/internal/link"
	"github.com/bambooproxy/bambooproxy/internal/quorum"
	"github.com/bambooproxy/bambooproxy/internal/wire"
)

// TestElementsOfMessages checks that the elements of all lists in messages are as small as the limits on
// decoding them assume.
func TestElementsOfMessages(t *testing.T) {
	seen := make(map[reflect.Type]bool)
	var walk func(reflect.Type)
	walk = func(x reflect.Type) {
		if seen[x] {
			return
		}
		seen[x] = true
		switch x.Kind() {
		case reflect.Slice, reflect.Array:
			if x.Elem().Size() > wire.MaxElementBytes {
				t.Errorf("elements of %s take %d bytes, limit is %d", x, x.Elem().Size(), wire.MaxElementBytes)
			}
			walk(x.Elem())
		case reflect.Pointer, reflect.Map:
			walk(x.Elem())
		case reflect.Struct:
			for i := range x.NumField() {
				walk(x.Field(i).Type)
			}
		}
	}
	for _, v := range []any{
		link.FollowerMessage{},
		link.ControlMessage{},
		quorum.Batch{},
		quorum.Append{},
		quorum.SnapshotChunk{},
		quorum.Report{},
		quorum.JoinRequest{},
		quorum.HelloRequest{},
		quorum.ChangeRequest{},
	} {
		walk(reflect.TypeOf(v))
	}
}
