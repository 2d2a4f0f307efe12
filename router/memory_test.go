package router

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/messenger"
)

// Guards against connections of callers that leave no memory, or no descriptors for backend servers.
func TestConnectionsFollowMemoryAndDescriptors(t *testing.T) {
	for _, c := range []struct {
		maxConnections, memoryMb, descriptors, want int64
	}{
		{0, 0, 0, 20_000},
		{0, 0, 1 << 20, 20_000},
		{0, 0, 1024, 448},
		{300, 0, 1 << 20, 300},
		{0, 128, 1 << 20, 512},
		{300, 128, 1 << 20, 300},
		{0, 128, 64, 1},
	} {
		s := &messenger.Settings{MaxConnections: c.maxConnections, MemoryMb: c.memoryMb}
		assert.Equal(t, maxConnections(s, c.descriptors), c.want)
	}
}
