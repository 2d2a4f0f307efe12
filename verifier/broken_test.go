package verifier

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
)

// Each broken response is counted by its reason. The log lines name the server and the rule, and are bounded.
func TestBrokenResponsesAreReported(t *testing.T) {
	var out bytes.Buffer
	before := slog.Default()
	slog.SetDefault(slog.New(slog.NewJSONHandler(&out, nil)))
	limiter := logLines
	logLines = rate.NewLimiter(maxLinesPerSecond, maxLineBurst) // other tests report as well
	defer func() {
		slog.SetDefault(before)
		logLines = limiter
	}()
	counter := metrics.GetOrCreateCounter(`cowsliphinge_broken_responses_total{reason="status"}`)
	counted := counter.Get()
	err := fmt.Errorf("attempt failed: %w", ErrBrokenResponse{Reason: ReasonStatus, Detail: "00\x00"})
	assert.Assert(t, IsErrBrokenResponse(err))
	const reports = 10 * maxLineBurst
	for range reports {
		Report(err, slog.String("server", "s1"))
	}
	Report(nil)
	Report(errors.New("no answer"))
	assert.Equal(t, counter.Get()-counted, uint64(reports))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Assert(t, len(lines) < reports/2, "%d lines", len(lines))
	for _, field := range []string{`"msg":"broken response"`, `"server":"s1"`, `"reason":"status"`, `"detail":"00\u0000"`} {
		assert.Assert(t, strings.Contains(lines[0], field), lines[0])
	}
}
