package wire

import "github.com/cockroachdb/errors"

const (
	// MaxElementBytes bounds the size of the elements of lists in messages, and pairBytes what a pair
	// of a map takes.
	MaxElementBytes = 384
	pairBytes       = 32

	// These are the major types of CBOR items that matter here, and the additional information of those
	// without a length.
	bytesType, textType, arrayType, mapType, simpleType = 2, 3, 4, 5, 7
	indefinite                                          = 31
)

// errIndefinite is the error for CBOR items without a length, which no instance sends.
var errIndefinite = errors.New("CBOR item without a length")

// decodedBytes returns an upper bound of the memory that a CBOR item takes when it is decoded. Of an item that is not
// well-formed, which isn't decoded, it looks at the part before the error only.
func decodedBytes(b []byte) (int64, error) {
	total := 2 * int64(len(b))
	for len(b) > 0 {
		major, info := b[0]>>5, b[0]&0x1f
		b = b[1:]
		if info == indefinite && major != simpleType {
			return 0, errIndefinite
		}
		n := uint64(info)
		if info >= 24 {
			size := 1 << (info - 24)
			if info > 27 || size > len(b) {
				return total, nil
			}
			n = 0
			for _, x := range b[:size] {
				n = n<<8 | uint64(x)
			}
			b = b[size:]
		}
		switch major {
		case bytesType, textType:
			if n > uint64(len(b)) {
				return total, nil
			}
			b = b[n:]
		case arrayType:
			total += int64(min(n, uint64(len(b)))) * MaxElementBytes
		case mapType:
			total += int64(min(n, uint64(len(b)))) * pairBytes
		}
	}
	return total, nil
}
