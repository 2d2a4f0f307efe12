// Package logger writes structured lines without ever holding up who logs: lines
// wait in a bounded ring, and what does not fit is counted.
package logger

import (
	"bytes"
	"context"
	"io"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/ringer"
)

const (
	// ringLines is how many lines may wait to be written.
	ringLines = 1024
	// maxBatchBytes bounds one write.
	maxBatchBytes = 32 << 10
	// flushWait bounds the last writes of a process, in milliseconds.
	flushWait = 200 * clocker.Millis(1)
)

var suppressed = metrics.NewCounter("cowsliphinge_log_lines_suppressed_total")

// Writer passes lines on to another writer from a goroutine of its own.
type Writer struct {
	ring *ringer.DroppingQueue[[]byte]
	done chan struct{}
	stop context.CancelFunc
}

// NewWriter returns a Writer that writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	ctx, stop := context.WithCancel(context.Background())
	w := &Writer{ring: ringer.New[[]byte]("log_lines", ringLines), done: make(chan struct{}), stop: stop}
	go func() {
		defer close(w.done)
		for {
			select {
			case <-ctx.Done():
				for w.ring.Len() > 0 {
					w.write(out, nil)
				}
				return
			case line := <-w.ring.Items():
				w.write(out, line)
			}
		}
	}()
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.ring.TryEnqueue(bytes.Clone(line)) {
		suppressed.Inc()
	}
	return len(line), nil
}

// write passes on a line and what waits behind it, in one call.
func (w *Writer) write(out io.Writer, line []byte) {
	batch := line
	for len(batch) < maxBatchBytes {
		select {
		case next := <-w.ring.Items():
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	_, _ = out.Write(batch) // a log that can't be written has no place to say so
}

// Close writes what waits and ends the goroutine.
func (w *Writer) Close(clock *clocker.Clock) {
	w.stop()
	ctx, cancel := clock.WithTimeout(context.Background(), flushWait)
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

// New returns a logger of JSON lines at the given level.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
