package carrier

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

const (
	// maxSkippedAnswers bounds late answers to earlier requests on a connection.
	maxSkippedAnswers = 2
	// maxPreludeBytes bounds all that a server may send before the body of the right
	// answer: late answers to earlier requests, interim answers and the head. Heads
	// of common servers stay below 16 KB.
	maxPreludeBytes = 128 << 10
	// lateWriteTime is how long a request may still be written when its answer has
	// ended with the connection, in milliseconds: bytes that the server reads take a
	// round trip.
	lateWriteTime = 200 * clocker.Millis(1)
)

var skipped = metrics.NewCounter("cowsliphinge_backend_late_answers_total")

// readAnswer reads up to the body of the answer to the request. Late answers to
// earlier requests on the connection are skipped.
func (c *Carrier) readAnswer(cn *conn, r Request) (*http.Response, error) {
	cn.limit(maxPreludeBytes)
	defer cn.limit(unlimited)
	for range maxSkippedAnswers + 1 {
		resp, err := readHead(cn, r.Method)
		if err != nil {
			return nil, connector.ErrBroken{Cause: err}
		}
		got := resp.Header.Get(c.cfg.RequestIDHeader)
		if got == r.ID || got == "" && cn.first() && resp.StatusCode >= http.StatusMultipleChoices {
			return resp, nil
		}
		if got == "" {
			return nil, connector.ErrCrossed{Want: r.ID}
		}
		skipped.Inc()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, connector.ErrCrossed{Want: r.ID, Got: got}
		}
	}
	return nil, connector.ErrCrossed{Want: r.ID}
}

func readHead(cn *conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Answer is the answer to a request, its body still to be read.
type Response struct {
	*http.Response
	conn    *conn
	target  Target
	carrier *Carrier
	stop    func() bool
	request *writing
	whole   bool
}

// Read reads from the body. It returns io.EOF only behind a whole body.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !a.framed() && a.written() != nil {
		return n, io.ErrUnexpectedEOF // a reset tells the write or the read, not both
	}
	a.whole = true
	return n, err
}

// framed reports whether the answer shows its end by a length or by chunks, and not by
// the end of its connection.
func (a *Response) framed() bool {
	return a.ContentLength >= 0 || len(a.TransferEncoding) > 0
}

// written waits a little for the end of the request's writing and returns its error.
func (a *Response) written() error {
	_ = a.conn.SetWriteDeadline(clocker.FromNow(lateWriteTime))
	<-a.request.done
	return a.request.err
}

// Whole reports whether the body was read to its end.
func (a *Response) Complete() bool {
	return a.whole
}

// Within bounds the wait for the next byte, in milliseconds.
func (a *Response) SetReadTimeout(d clocker.Millis) {
	_ = a.conn.SetReadDeadline(clocker.FromNow(d))
}

// Close ends the exchange. The connection is used again only if the request was
// written, the answer read whole, and nothing came behind it.
func (a *Response) Close() {
	live := a.stop()
	if !live || !a.whole || a.Response.Close || !a.framed() || !a.sent() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetReadDeadline(time.Time{})
	a.conn.idleFor = keepAliveTimeout(a.Header.Get("Keep-Alive"))
	a.carrier.put(a.target, a.conn)
}

// sent reports whether the whole request was written.
func (a *Response) sent() bool {
	select {
	case <-a.request.done:
		return a.request.err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns the timeout of a Keep-Alive header; 0 if it names none.
func keepAliveTimeout(header string) clocker.Millis {
	for _, field := range strings.Split(header, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			seconds, err := strconv.Atoi(value)
			if err != nil {
				return 0
			}
			return clocker.Millis(seconds) * clocker.Second
		}
	}
	return 0
}
