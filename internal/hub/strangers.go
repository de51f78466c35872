package hub

import (
	"time"

	"github.com/bambooproxy/bambooproxy/internal/link"
)

const (
	// maxUnregistered bounds what is kept about targets that are not registered: one that announces itself
	// is registered soon, and anybody who can connect may report others.
	maxUnregistered = 1 << 16
	// maxNameBytes bounds the names of those.
	maxNameBytes = 256
	// maxListedEntries bounds the ready instances that a control instance reports. Others report themselves.
	maxListedEntries = 4096
	// maxLinkRequests bounds the requests of one instance at the scheduler. It has fewer callers.
	maxLinkRequests = 1 << 14
	// maxReportedBlocks bounds the blocks that links report. Other instances take over twice as many, so that
	// there is room for those found here.
	maxReportedBlocks = 512
	// maxWaitingLoads bounds the loads of pools from other control instances that wait for a link, in bytes.
	maxWaitingLoads = 1 << 20
	// pruneInterval is the shortest time between two searches for what is no longer needed.
	pruneInterval = time.Second
)

// mayKeep reports whether something about a target may be added to a map of n.
func (s *Server) mayKeep(id string, n int) bool {
	if n < maxUnregistered && len(id) <= maxNameBytes {
		return true
	}
	_, ok := s.registry.Target(id)
	return ok
}

// boundEntries returns the part of a list of ready instances that the sender may report.
func boundEntries(h link.Hello, list []link.Entry) []link.Entry {
	if !h.IsControl {
		return list[:min(len(list), 1)]
	}
	return list[:min(len(list), maxListedEntries)]
}

// pruneSeen removes the times of heartbeats that no longer count, if there are too many. The caller holds mu.
func (s *scheduler) pruneSeen(now time.Time) {
	if len(s.lastSeen) < maxUnregistered || now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	for id, at := range s.lastSeen {
		if now.Sub(at) > silenceTimeout {
			delete(s.lastSeen, id)
		}
	}
}
