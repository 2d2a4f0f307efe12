package runner

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/shedder"
)

// Guards against a log line for each refused request, and against a period whose end is not logged.
func TestPeriodsOfFullServersAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	var l shedLog
	l.record(log, "chat", shedder.Sent, 0)
	assert.Equal(t, out.String(), "")
	for now := clocker.Millis(100); now <= clocker.Second; now += 100 {
		l.record(log, "chat", shedder.QueuesFull, now)
		l.expire(log, now)
	}
	l.expire(log, clocker.Second+shedPause)
	l.expire(log, clocker.Minute)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2, out.String())
	assert.Assert(t, strings.Contains(lines[0], "shed=queues_full"), lines[0])
	assert.Assert(t, strings.Contains(lines[1], "refused=10 lasted_ms=900"), lines[1])
}
