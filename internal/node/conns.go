package node

import "golang.org/x/sys/unix"

const (
	// connBytes is the memory of a connection: its buffers and goroutine. The connections of a port take at most
	// 1/connMemoryDivisor of Settings.Memory.
	connBytes         = 16 << 10
	connMemoryDivisor = 4
	// callersDivisor divides the limit of open files into the connections of callers. For each one there may be
	// one to a target.
	callersDivisor = 3
	// controlNumerator and controlDivisor are the same for connections of targets and operators: targets keep one
	// to each control instance that they have called.
	controlNumerator, controlDivisor = 3, 4
	// directoryDivisor is that for look-ups, and probesDivisor that for each port that serves the site itself.
	directoryDivisor = 12
	probesDivisor    = 64
	// minConns is the lowest limit of a port.
	minConns = 16
	// headDivisor divides Settings.Memory into the part for large heads of requests, and that for large heads and
	// events of responses.
	headDivisor = 16
	// freeResponseBytes is the memory for the head and events of a response that isn't counted there.
	freeResponseBytes = 16 << 10
	// minReceiveBytes and maxReceiveBytes bound the receive buffer of a connection to a target. Connections begin with the
	// former; the system takes twice as much memory.
	minReceiveBytes, maxReceiveBytes = 64 << 10, 256 << 10
	receiveOverhead                  = 2
	// defaultDescriptors is the limit of open files if it can't be read.
	defaultDescriptors = 1024
)

// connLimits are the largest numbers of connections on the ports of a process.
type connLimits struct{ callers, control, directory, probes int }

// newConnLimits returns the limits for a process with memory in bytes and a limit of open files.
func newConnLimits(memory, descriptors int64) connLimits {
	byMemory := memory / connMemoryDivisor / connBytes
	limit := func(n int64) int { return int(max(minConns, min(byMemory, n))) }
	return connLimits{
		callers:   limit(descriptors / callersDivisor),
		control:   limit(descriptors * controlNumerator / controlDivisor),
		directory: limit(descriptors / directoryDivisor),
		probes:    limit(descriptors / probesDivisor),
	}
}

// targetReceiveBytes returns the size of the receive buffers with which the connections to targets take as much of memory
// as those of callers, one for each of these.
func (l connLimits) targetReceiveBytes(memory int64) int {
	share := memory / connMemoryDivisor / receiveOverhead / int64(l.callers)
	return int(min(maxReceiveBytes, max(minReceiveBytes, share)))
}

// maxDescriptors returns the limit of open files of this process.
func maxDescriptors() int64 {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return defaultDescriptors
	}
	// The limit may be infinite.
	return int64(min(l.Cur, 1<<32))
}
