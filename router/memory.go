package router

import (
	"log/slog"
	"syscall"

	"cowsliphinge/admitter"
	"cowsliphinge/messenger"
)

const (
	// defaultMemoryMb is what the bound of callers' requests is derived from without a memory limit, in MB: a
	// quarter of it, which takes 170 completions of 1 MB at once.
	defaultMemoryMb = 4096
	// defaultMaxConnections is the default of MaxConnections.
	defaultMaxConnections = 20000
	// connectionsPerMb bounds the connections of callers of a process with a memory limit: one takes 32 to
	// 40 KB, and so all of them up to a sixth of it.
	connectionsPerMb = 4
	// reservedDescriptors are those that callers leave for the platform, other hosts and files. Half of the rest
	// is left for backend servers.
	reservedDescriptors = 128
)

// newMemoryBudget returns the budget that the requests of callers are charged to.
func newMemoryBudget(s *messenger.Settings, log *slog.Logger) *admitter.Budget {
	memory := s.MemoryMb
	if memory == 0 {
		memory = defaultMemoryMb
	}
	cfg := admitter.ForMemory(memory)
	cfg.Log = log
	return admitter.New(cfg)
}

// maxConnections returns the bound of callers' connections. descriptors is the descriptor limit of the process; 0
// means that it is not known.
func maxConnections(s *messenger.Settings, descriptors int64) int64 {
	n := s.MaxConnections
	if n == 0 {
		n = defaultMaxConnections
	}
	if s.MemoryMb > 0 {
		n = min(n, s.MemoryMb*connectionsPerMb)
	}
	if descriptors > 0 {
		n = min(n, max(1, (descriptors-reservedDescriptors)/2))
	}
	return n
}

// maxDescriptors returns the descriptor limit of the process, or 0 if it is not known or there is none.
func maxDescriptors() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return 0
	}
	return int64(limit.Cur)
}
