package logger

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// blockedWriter is a writer whose Write blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	return s.written.Write(b)
}

// Guards against: a reader of the log stops reading and requests block on logging. Lines
// that do not fit into the queue are counted.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewWriter(out)
	log := New(w, slog.LevelInfo)
	before := droppedLines.Get()
	for range 3 * queueLines {
		log.Info("line")
	}
	assert.Assert(t, droppedLines.Get()-before >= queueLines)
	close(out.unblock)
	w.Close(clocker.NewWall())
	<-w.done // Close does not wait longer than flushTimeout
	lines := strings.Count(out.written.String(), "\n")
	assert.Assert(t, lines >= queueLines && lines <= 2*queueLines, "%d lines", lines)
}
