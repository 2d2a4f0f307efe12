package logger

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// stuck is a writer that takes nothing until it is let go.
type stuck struct {
	let chan struct{}
	got bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	return s.got.Write(b)
}

// Pattern: whoever reads the log stops reading; requests go on, lines are counted.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &stuck{let: make(chan struct{})}
	w := NewWriter(out)
	log := New(w, slog.LevelInfo)
	before := suppressed.Get()
	for range 3 * ringLines {
		log.Info("line")
	}
	assert.Assert(t, suppressed.Get()-before >= ringLines)
	close(out.let)
	w.Close(clocker.NewWall())
	lines := strings.Count(out.got.String(), "\n")
	assert.Assert(t, lines >= ringLines && lines <= 2*ringLines, "%d lines", lines)
}
