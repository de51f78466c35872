package wire

import (
	"math"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxMessageBytes bounds one message: the default of drpc, which older builds have on both sides.
	maxMessageBytes = 4 << 20
	// maxFrameBytes is the size of the longest frame into which drpc splits a message.
	maxFrameBytes = 64 << 10
	// maxMethodBytes bounds the name of a method.
	maxMethodBytes = 256
	// maxControlBytes bounds the packets that carry neither a message nor the name of a method, and
	// maxControlPackets how many of them may come without a message.
	maxControlBytes   = 16 << 10
	maxControlPackets = 16

	// checkInterval is how often connections are checked. The times below are counted in checks, so
	// that a pause of the process doesn't end the connections of others.
	checkInterval = time.Second
	// messageTimeout bounds the wait for the first message of a connection, and the time from the first
	// byte of a message to the last.
	messageTimeout = 10 * time.Second
	// idleTimeout is how long a connection without a call stays open. Callers stop using it at
	// maxConnAge.
	idleTimeout = 2 * maxConnAge
	// replyTimeout bounds each write of a reply to a call.
	replyTimeout = 10 * time.Second
	// closeTimeout bounds the wait for a blocked send when a stream is closed.
	closeTimeout = time.Second
	// decodeTimeout bounds the wait for memory to decode a message.
	decodeTimeout = 5 * time.Second

	// callTimeout bounds calls whose caller has no deadline.
	callTimeout = time.Minute

	// defaultMemory is Server.Memory if it is 0, in bytes.
	defaultMemory = 256 << 20
	// memoryPerConn is the memory of the process for each connection, of which it uses a part.
	memoryPerConn = 128 << 10
	// messageDivisor divides the memory into the part for messages that are not complete, or whose
	// buffers are kept, and decodeDivisor into that for messages that are decoded.
	messageDivisor = 8
	decodeDivisor  = 8
	// minMessageMemory and minDecodeMemory hold one message of maxMessageBytes.
	minMessageMemory = 2 * maxMessageBytes
	minDecodeMemory  = 4 * maxMessageBytes
	// minConns bounds the connections of processes with very little memory.
	minConns = 64
)

// limits bounds what all connections of a server hold together.
type limits struct {
	// conns bounds the open connections, and streams those that carry a stream, so that calls find room.
	conns, streams int
	// messageBytes and decodeBytes bound the memory of messages before and while they are decoded.
	messageBytes, decodeBytes int64
}

// newLimits derives the limits of a server from the memory of the process in bytes and the number of its
// file descriptors, of which peers may use three in eight.
func newLimits(memory int64, descriptors uint64) limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	conns := max(minConns, int(min(memory/memoryPerConn, int64(min(descriptors, math.MaxInt32))*3/8)))
	return limits{
		conns: conns, streams: conns * 7 / 8,
		messageBytes: max(minMessageMemory, memory/messageDivisor),
		decodeBytes:  max(minDecodeMemory, memory/decodeDivisor),
	}
}

// maxDescriptors returns the limit of the open file descriptors of this process. If it can't be read,
// only the memory bounds the connections.
func maxDescriptors() uint64 {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil {
		return math.MaxUint64
	}
	return r.Cur
}
