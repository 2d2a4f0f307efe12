package relayer

import (
	"fmt"
	"net/http"
	"strconv"

	"cowsliphinge/carrier"
	"cowsliphinge/clocker"
)

// callerReply is the response to the caller. A response that has started counts as
// truncated until it is complete. How it ends therefore depends only on what the caller
// received, whichever code path gave up the request.
type callerReply struct {
	w        http.ResponseWriter
	started  bool
	complete bool
}

// refuse responds with a failure, unless a response has started.
func (r *callerReply) refuse(f failure, remaining clocker.Millis) {
	if r.started {
		return
	}
	r.started = true
	f.write(r.w, remaining)
	r.complete = true
}

// sendBuffered forwards a response that was read to its end, unless one has started.
func (r *callerReply) sendBuffered(response *carrier.Response, body []byte) {
	if r.started {
		return
	}
	length := int64(len(body))
	if response.Request.Method == http.MethodHead {
		length = response.ContentLength
	}
	r.sendHeader(response, length)
	_, _ = r.w.Write(body) // fails only if the caller has disconnected
	r.complete = true
}

// sendHeader sends status and headers of a server's response. length is that of the
// body, or unknownLength.
func (r *callerReply) sendHeader(response *carrier.Response, length int64) {
	r.started = true
	r.copyHeader(response.Header)
	if length != unknownLength {
		r.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	r.w.WriteHeader(response.StatusCode)
}

// sendEvents writes complete events of a stream and flushes them.
func (r *callerReply) sendEvents(b []byte) error {
	if _, err := r.w.Write(b); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerDisconnected, err)
	}
	return nil
}

// truncated reports whether the response is incomplete and has to be aborted.
func (r *callerReply) truncated() bool {
	return r.started && !r.complete
}

// abort ends the handler of a truncated response. It panics with http.ErrAbortHandler,
// since after a return net/http would frame the response as complete.
func (r *callerReply) abort(req *http.Request) {
	if !req.ProtoAtLeast(1, 1) {
		r.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset sends a TCP reset on the connection. Callers of HTTP/1.0 need it, since their
// responses end with the connection and a normal close would look complete. If the
// connection can't be hijacked, the abort of the handler closes it.
func (r *callerReply) reset() {
	conn, _, err := http.NewResponseController(r.w).Hijack()
	if err != nil {
		return
	}
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0) // fails only if the connection is already closed
	}
	_ = conn.Close()
}

func (r *callerReply) copyHeader(from http.Header) {
	h := r.w.Header()
	connection := h.Get("Connection")
	for name, values := range forwardableHeaders(from) {
		h[name] = values
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := from[name]; !ok {
			h[name] = nil // keeps net/http from adding a header that the server did not send
		}
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
}
