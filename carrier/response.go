package carrier

import (
	"context"
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
	// maxSkippedResponses limits the late responses to earlier requests that are
	// skipped before the response to the current one.
	maxSkippedResponses = 2
	// maxPreBodyBytes limits what a server may send before the body of the right
	// response: late responses to earlier requests, interim responses and the
	// header. Headers of common servers are shorter than 16 KB.
	maxPreBodyBytes = 128 << 10
	// maxHeaderLines limits the lines of a header. A parsed field takes over a hundred bytes
	// besides its own, so that the bytes alone would bound the memory to fifteen times as much.
	maxHeaderLines = 256
	// writeGracePeriod is how long the write of a request may continue after its
	// response has ended with the connection, in milliseconds. The acknowledgement
	// of bytes that the server reads takes one round trip.
	writeGracePeriod = 200 * clocker.Millis(1)
)

var skippedResponses = metrics.NewCounter("cowsliphinge_backend_late_answers_total")

// readResponse reads the response to the request up to its body. Late responses to
// earlier requests on the connection are skipped. A response without an ID is accepted only
// on a new connection and if it is not a success: on a reused connection it may belong to
// any earlier request. connector.ErrRequestIDMismatch is returned for such a response, for one
// to another request after which the connection ends, and after too many late responses.
func (c *Carrier) readResponse(cn *conn, r Request) (*http.Response, error) {
	cn.setReadLimit(maxPreBodyBytes)
	defer cn.setReadLimit(noReadLimit)
	for range maxSkippedResponses + 1 {
		resp, err := readResponseHeader(cn, r.Method)
		if err != nil {
			return nil, connector.ErrAborted{Cause: err}
		}
		id := resp.Header.Get(c.cfg.RequestIDHeader)
		if id == r.ID || id == "" && cn.isFirstResponse() && resp.StatusCode >= http.StatusMultipleChoices {
			return resp, nil
		}
		if id == "" {
			return nil, connector.ErrRequestIDMismatch{Want: r.ID}
		}
		skippedResponses.Inc()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return nil, connector.ErrRequestIDMismatch{Want: r.ID, Got: id}
		}
	}
	return nil, connector.ErrRequestIDMismatch{Want: r.ID}
}

func readResponseHeader(cn *conn, method string) (*http.Response, error) {
	for {
		if err := cn.beginResponse(method); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		cn.header = headerLines{} // the rest of the bytes are no header
		if err != nil {
			return nil, cn.cause(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// Response is the response to a request with an unread body.
type Response struct {
	*http.Response
	conn    *conn
	target  Target
	carrier *Carrier
	// ctx is that of the request.
	ctx         context.Context
	cancelClose func() bool
	write       *requestWrite
	complete    bool
	// cut is why the end of a body without a length was found to be none; nil before.
	cut error
	// deadline is Request.Deadline.
	deadline clocker.Millis
	// witness is that of the server while it sends a body without a length; nil before. asked is true once it was asked.
	witness *witness
	asked   bool
}

// Read reads from the body. It returns io.EOF only after a complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if r.conn.broken != nil {
		err = r.conn.cause(err)
		reportBroken(r.target, err)
	}
	if err == nil && !r.Framed() && r.witness == nil && r.carrier.cfg.Identity != nil {
		r.witness = r.carrier.attachWitness(r)
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !r.Framed() && r.Request.Method != http.MethodHead { // an answer to HEAD is its header
		if r.waitWrite() != nil {
			return n, io.ErrUnexpectedEOF // a TCP reset fails either the write or the read, not both
		}
		if r.cut == nil && !r.complete {
			r.cut = r.confirmEnd()
		}
		if r.cut != nil {
			return n, r.cut
		}
	}
	r.complete = true
	return n, err
}

// Framed reports whether the body is delimited by Content-Length or chunked encoding
// rather than by the end of the connection.
func (r *Response) Framed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// waitWrite waits up to writeGracePeriod for the write of the request and returns its
// error.
func (r *Response) waitWrite() error {
	_ = r.conn.SetWriteDeadline(clocker.FromNow(writeGracePeriod))
	<-r.write.done
	return r.write.err
}

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool {
	return r.complete
}

// SetReadTimeout limits the wait for the next byte, in milliseconds.
func (r *Response) SetReadTimeout(d clocker.Millis) {
	_ = r.conn.SetReadDeadline(clocker.FromNow(d))
}

// Close ends the exchange. The connection is reused only if the request was written
// completely, the response was read completely, and no bytes follow it. The method hides
// the embedded field http.Response.Close, which is true if the server closes the connection
// after the response.
func (r *Response) Close() {
	open := r.cancelClose()
	if r.witness != nil {
		r.witness.detach(r.asked)
	}
	if !open || !r.complete || r.Response.Close || !r.Framed() || !r.writeSucceeded() || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	_ = r.conn.SetReadDeadline(time.Time{})
	r.conn.onSilence = nil
	r.conn.serverIdleTimeout = keepAliveTimeout(r.Header.Get("Keep-Alive"))
	r.carrier.putIdle(r.target, r.conn)
}

// writeSucceeded reports whether the request was written completely.
func (r *Response) writeSucceeded() bool {
	select {
	case <-r.write.done:
		return r.write.err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, or 0 if it has none.
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
