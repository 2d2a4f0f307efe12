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
	maxSkippedResponses = 2
	// maxPreludeBytes bounds all that a server may send before the body of the right
	// answer: late answers to earlier requests, interim answers and the head. Heads
	// of common servers stay below 16 KB.
	maxPreBodyBytes = 128 << 10
	// lateWriteTime is how long a request may still be written when its answer has
	// ended with the connection, in milliseconds: bytes that the server reads take a
	// round trip.
	writeGracePeriod = 200 * clocker.Millis(1)
)

var skippedResponses = metrics.NewCounter("cowsliphinge_backend_late_answers_total")

// readAnswer reads up to the body of the answer to the request. Late answers to
// earlier requests on the connection are skipped.
func (c *Carrier) readResponse(cn *conn, r Request) (*http.Response, error) {
	cn.setReadLimit(maxPreBodyBytes)
	defer cn.setReadLimit(noReadLimit)
	for range maxSkippedResponses + 1 {
		resp, err := readResponseHeader(cn, r.Method)
		if err != nil {
			return nil, connector.ErrBroken{Cause: err}
		}
		id := resp.Header.Get(c.cfg.RequestIDHeader)
		if id == r.ID || id == "" && cn.isFirstExchange() && resp.StatusCode >= http.StatusMultipleChoices {
			return resp, nil
		}
		if id == "" {
			return nil, connector.ErrCrossed{Want: r.ID}
		}
		skippedResponses.Inc()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, connector.ErrCrossed{Want: r.ID, Got: id}
		}
	}
	return nil, connector.ErrCrossed{Want: r.ID}
}

func readResponseHeader(cn *conn, method string) (*http.Response, error) {
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
	conn        *conn
	target      Target
	carrier     *Carrier
	cancelClose func() bool
	write       *requestWrite
	complete    bool
}

// Read reads from the body. It returns io.EOF only behind a whole body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !r.framed() && r.waitWrite() != nil {
		return n, io.ErrUnexpectedEOF // a reset tells the write or the read, not both
	}
	r.complete = true
	return n, err
}

// framed reports whether the answer shows its end by a length or by chunks, and not by
// the end of its connection.
func (r *Response) framed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// written waits a little for the end of the request's writing and returns its error.
func (r *Response) waitWrite() error {
	_ = r.conn.SetWriteDeadline(clocker.FromNow(writeGracePeriod))
	<-r.write.done
	return r.write.err
}

// Whole reports whether the body was read to its end.
func (r *Response) Complete() bool {
	return r.complete
}

// Within bounds the wait for the next byte, in milliseconds.
func (r *Response) SetReadTimeout(d clocker.Millis) {
	_ = r.conn.SetReadDeadline(clocker.FromNow(d))
}

// Close ends the exchange. The connection is used again only if the request was
// written, the answer read whole, and nothing came behind it.
func (r *Response) Close() {
	open := r.cancelClose()
	if !open || !r.complete || r.Response.Close || !r.framed() || !r.writeSucceeded() || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	_ = r.conn.SetReadDeadline(time.Time{})
	r.conn.serverIdleTimeout = keepAliveTimeout(r.Header.Get("Keep-Alive"))
	r.carrier.putIdle(r.target, r.conn)
}

// sent reports whether the whole request was written.
func (r *Response) writeSucceeded() bool {
	select {
	case <-r.write.done:
		return r.write.err == nil
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
