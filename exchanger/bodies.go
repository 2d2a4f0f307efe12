package exchanger

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
)

const (
	// bodyTimeout is the time limit for reading a body, in milliseconds: five times callTimeout, after which
	// the client has given up.
	bodyTimeout = 5 * callTimeout
	// bodyCopies is the charge for a byte of a body: it is held while it is read, and once more, in a buffer
	// that grows, while it is decoded.
	bodyCopies = 4
	// bodiesDivisor is the part of the memory of a process that the bodies of hosts may take, and those of
	// operators.
	bodiesDivisor = 8
	// bodiesAloneDivisor is the part that a single body may take.
	bodiesAloneDivisor = 3
	// defaultMemory is assumed without a memory limit, in bytes. A body of maxBodyBytes fits.
	defaultMemory = 4 << 30
	// smallBodyBytes is what a body may take of the part that is reserved for small ones. Heartbeats of a
	// hundred hosts take 20 to 30 KB.
	smallBodyBytes = 1 << 20
)

var (
	refusedBodies = metrics.NewCounter(`cowsliphinge_exchange_bodies_refused_total{reason="memory_full"}`)
	largeBodies   = metrics.NewCounter(`cowsliphinge_exchange_bodies_refused_total{reason="too_large"}`)
	brokenBodies  = metrics.NewCounter(`cowsliphinge_exchange_bodies_refused_total{reason="not_read"}`)
)

// bodyReader reads the bodies of calls into memory, charged to one budget, before the calls are handled.
type bodyReader struct {
	budget   *admitter.Budget
	maxBytes int64
}

// newBodyReader returns a reader with a budget of its own. memoryMb is the memory limit of the process; 0 means
// none.
func newBodyReader(memoryMb int64) bodyReader {
	memory := memoryMb << 20
	if memory <= 0 {
		memory = defaultMemory
	}
	total := memory / bodiesDivisor
	alone := memory / bodiesAloneDivisor
	reserve := total / 4
	return bodyReader{
		budget: admitter.New(admitter.Config{
			Bytes: total, ReservedBytes: reserve, SmallBytes: min(smallBodyBytes, reserve/2), AloneBytes: alone,
			// A single body that holds more than the budget must leave at once for a heartbeat.
			LeavingBytes: alone,
		}),
		// The last chunk is charged whole before it is read.
		maxBytes: min(maxBodyBytes, alone/bodyCopies-smallBodyBytes/bodyCopies),
	}
}

// withBodyDeadline bounds the time for reading the body of a request, also of one that no handler reads: the
// server reads a part of it after the answer.
func withBodyDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// An error means a connection without deadlines, or one that is closed.
			_ = http.NewResponseController(w).SetReadDeadline(clocker.FromNow(bodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// wrap returns a handler that reads the body of a call and then calls next with it.
func (b bodyReader) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		reader := &evictableBody{body: r.Body, control: control}
		holding := b.budget.Open(reader)
		defer holding.Reset()
		reader.holding = holding
		if r.ContentLength > b.maxBytes {
			refuseBody(w, http.StatusRequestEntityTooLarge, "resource_exhausted", "the body is too large", largeBodies)
			return
		}
		body, err := admitter.ReadBody(http.MaxBytesReader(w, reader, b.maxBytes), r.ContentLength, holding)
		if err == nil {
			defer body.Release()
			err = holding.Finish()
		}
		var large *http.MaxBytesError
		switch {
		case err == nil:
		case admitter.IsErrMemoryFull(err):
			refuseBody(w, http.StatusServiceUnavailable, "unavailable", "the memory for bodies is taken", refusedBodies)
			return
		case errors.As(err, &large):
			refuseBody(w, http.StatusRequestEntityTooLarge, "resource_exhausted", "the body is too large", largeBodies)
			return
		default:
			refuseBody(w, http.StatusBadRequest, "malformed", "the body could not be read in time", brokenBodies)
			return
		}
		// The deadline would end a call that is handled for longer than bodyTimeout. It can't be removed from a
		// connection that is closed.
		_ = control.SetReadDeadline(time.Time{})
		readers := make([]io.Reader, 0, len(body.Parts()))
		for _, part := range body.Parts() {
			readers = append(readers, bytes.NewReader(part))
		}
		r.Body = io.NopCloser(io.MultiReader(readers...))
		r.ContentLength = body.Len()
		next.ServeHTTP(w, r)
	})
}

// refuseBody answers a call that was not handled, in the format of the protocol. The connection is closed, so
// that the rest of the body is not read.
func refuseBody(w http.ResponseWriter, status int, code, message string, counter *metrics.Counter) {
	counter.Inc()
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(`{"code":"` + code + `","msg":"` + message + `"}`))
}

// evictableBody is the body of a call. It is charged for the copies that decoding makes.
type evictableBody struct {
	body    io.ReadCloser
	control *http.ResponseController
	holding *admitter.Holding
	evicted atomic.Bool
}

// Evict implements admitter.Evictor: the read in progress and all later ones fail.
func (e *evictableBody) Evict() {
	e.evicted.Store(true)
	_ = e.control.SetReadDeadline(clocker.FromNow(0)) // fails only if the connection is closed
}

// Read implements io.Reader.
func (e *evictableBody) Read(p []byte) (int, error) {
	if e.evicted.Load() {
		return 0, admitter.ErrMemoryFull{Reason: admitter.ReasonEvicted}
	}
	n, err := e.body.Read(p)
	if charge := e.holding.Charge(int64(n) * (bodyCopies - 1)); charge != nil {
		return n, charge
	}
	return n, err
}

// Close implements io.Closer.
func (e *evictableBody) Close() error {
	return e.body.Close()
}
