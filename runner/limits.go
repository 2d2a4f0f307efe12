package runner

import (
	"math"

	"golang.org/x/sys/unix"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
)

const (
	// connsPerMb is the number of callers' connections per MB of memory. An idle one takes 12 KB, so that
	// all together take a fifth of it.
	connsPerMb = 16
	// ownDescriptors are those that the process needs for listeners, the store, other hosts and its log.
	ownDescriptors = 128
	// minCallerConns is the number of callers' connections that are allowed with any limit.
	minCallerConns = 16
	// defaultCallerStall is how long a response may make no progress by default, in milliseconds: long
	// enough for a link that was lost for some seconds and for the pauses of TCP after that.
	defaultCallerStall = 20 * clocker.Second
	// maxProbeConns bounds the connections of readiness probes; the platform's balancer uses a few.
	maxProbeConns = 64
	// maxProbeHeaderBytes bounds the header of a readiness probe.
	maxProbeHeaderBytes = 8 << 10
)

// memoryConfig returns the memory budget of a process.
func memoryConfig(cfg Config) admitter.Config {
	c := admitter.ForMemory(cfg.Settings.MemoryMb)
	c.Log = cfg.Log
	return c
}

// maxCallerConns returns how many connections callers may have: as many as the memory allows, and half of the
// descriptors, since each request may need one to a server as well.
func maxCallerConns(s Settings) int {
	descriptors := descriptorLimit()
	if s.MaxDescriptors > 0 {
		descriptors = min(descriptors, s.MaxDescriptors)
	}
	limit := (descriptors - ownDescriptors) / 2
	if s.MemoryMb > 0 {
		limit = min(limit, s.MemoryMb*connsPerMb)
	}
	return int(max(limit, minCallerConns))
}

// descriptorLimit returns the system's limit of the open descriptors of this process.
func descriptorLimit() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32 // the limit is then the memory's
	}
	return int64(min(limit.Cur, math.MaxInt32))
}

// callerStall returns how long a response may make no progress.
func callerStall(s Settings) clocker.Millis {
	if s.CallerStallMs > 0 {
		return s.CallerStallMs
	}
	return defaultCallerStall
}
