// Package logger writes structured log lines without blocking the caller: lines are
// queued in a bounded queue, and lines that do not fit are dropped and counted.
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
	// queueLines is the capacity of the queue of lines that are not yet written.
	queueLines = 1024
	// maxBatchBytes is the size at which no further lines are added to one write.
	maxBatchBytes = 32 << 10
	// flushTimeout is the longest time that Close waits for the last writes, in milliseconds.
	flushTimeout = 200 * clocker.Millis(1)
)

var droppedLines = metrics.NewCounter("cowsliphinge_log_lines_suppressed_total")

// Writer forwards lines to another writer from its own goroutine.
type Writer struct {
	queue  *ringer.DroppingQueue[[]byte]
	done   chan struct{}
	cancel context.CancelFunc
}

// NewWriter returns a Writer that writes to out until Close.
func NewWriter(out io.Writer) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{queue: ringer.New[[]byte]("log_lines", queueLines), done: make(chan struct{}), cancel: cancel}
	go func() {
		defer close(w.done)
		for {
			select {
			case <-ctx.Done():
				for w.queue.Len() > 0 {
					w.writeBatch(out, nil)
				}
				return
			case line := <-w.queue.Items():
				w.writeBatch(out, line)
			}
		}
	}()
	return w
}

// Write queues one line. It never blocks and never returns an error; a line that does
// not fit into the queue is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.queue.TryEnqueue(bytes.Clone(line)) {
		droppedLines.Inc()
	}
	return len(line), nil
}

// writeBatch writes a line and the lines queued after it in one call.
func (w *Writer) writeBatch(out io.Writer, line []byte) {
	batch := line
	for len(batch) < maxBatchBytes {
		select {
		case next := <-w.queue.Items():
			batch = append(batch, next...)
			continue
		default:
		}
		break
	}
	_, _ = out.Write(batch) // a failed write of the log can't be logged
}

// Close writes the queued lines and stops the goroutine. It returns after flushTimeout
// even if lines are left.
func (w *Writer) Close(clock *clocker.Clock) {
	w.cancel()
	ctx, cancel := clock.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}

// New returns a logger that writes JSON lines at the given level.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level}))
}
