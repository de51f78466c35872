package store

import (
	"encoding/binary"
	"hash/crc32"
)

// recordKind is the kind of data in a record.
type recordKind uint8

const (
	// stateRecord holds the state; it replaces the one before.
	stateRecord recordKind = iota + 1
	// entryRecord holds an entry; it replaces all entries from its index on.
	entryRecord
	// syncMarkRecord holds no data; it only records the synced size.
	syncMarkRecord
)

const (
	// recordHeaderSize is the size of a record's header in bytes: data length, checksum, kind,
	// synced size and index.
	recordHeaderSize = 4 + 4 + 1 + 8 + 8
	// checksumStart is the offset of the first byte that the checksum covers.
	checksumStart = 8
	// maxRecordBytes bounds the data of a record.
	maxRecordBytes = 64 << 20
)

// record is one record of a segment.
type record struct {
	kind recordKind
	// syncedSize is the size of the synced part of the segment when the record was written.
	syncedSize uint64
	index      uint64
	data       []byte
}

// checksum returns the CRC-32C of b.
func checksum(b []byte) uint32 { return crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)) }

// appendTo appends the encoded record to b.
func (r record) appendTo(b []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.data)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = append(b, byte(r.kind))
	b = binary.LittleEndian.AppendUint64(b, r.syncedSize)
	b = binary.LittleEndian.AppendUint64(b, r.index)
	b = append(b, r.data...)
	binary.LittleEndian.PutUint32(b[start+4:], checksum(b[start+checksumStart:]))
	return b
}

// parseRecord decodes the record at the start of b and returns its size in bytes. It fails if the
// record is incomplete or its checksum differs.
func parseRecord(b []byte) (r record, size int, ok bool) {
	if len(b) < recordHeaderSize {
		return record{}, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n > maxRecordBytes || int(n) > len(b)-recordHeaderSize {
		return record{}, 0, false
	}
	size = recordHeaderSize + int(n)
	if checksum(b[checksumStart:size]) != binary.LittleEndian.Uint32(b[4:]) {
		return record{}, 0, false
	}
	return record{
		kind:       recordKind(b[8]),
		syncedSize: binary.LittleEndian.Uint64(b[9:]),
		index:      binary.LittleEndian.Uint64(b[17:]),
		data:       b[recordHeaderSize:size:size],
	}, size, true
}

// syncedBeyond reports whether a later record proves that the segment was synced beyond offset, so
// that an invalid record at offset is corruption and not an unfinished write.
func syncedBeyond(b []byte, offset int) bool {
	for next := offset + 1; next+recordHeaderSize <= len(b); next++ {
		if r, _, ok := parseRecord(b[next:]); ok && r.syncedSize > uint64(offset) {
			return true
		}
	}
	return false
}
