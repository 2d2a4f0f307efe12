package relayer

import (
	"net/http"
	"strconv"

	"cowsliphinge/carrier"
	"cowsliphinge/clocker"
)

// callerReply is the answer to the caller. Once begun it counts as broken off until it is
// complete, so how it ends follows from what the caller got, and not from the way on
// which the request was given up.
type callerReply struct {
	w        http.ResponseWriter
	started  bool
	complete bool
}

// refuse answers with a refusal, unless an answer has begun.
func (r *callerReply) refuse(f refusal, remaining clocker.Millis) {
	if r.started {
		return
	}
	r.started = true
	f.write(r.w, remaining)
	r.complete = true
}

// whole passes on an answer that was read to its end, unless another has begun.
func (r *callerReply) sendBuffered(response *carrier.Response, body []byte) {
	if r.started {
		return
	}
	length := int64(len(body))
	if response.Request.Method == http.MethodHead {
		length = response.ContentLength
	}
	r.sendHeader(response, length)
	_, _ = r.w.Write(body) // a caller that has left needs no answer
	r.complete = true
}

// begin sends the head of a server's answer. length is that of the body, or
// unknownLength.
func (r *callerReply) sendHeader(response *carrier.Response, length int64) {
	r.started = true
	r.copyHeader(response.Header)
	if length != unknownLength {
		r.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	r.w.WriteHeader(response.StatusCode)
}

// events passes on whole events of a stream.
func (r *callerReply) sendEvents(b []byte) error {
	if _, err := r.w.Write(b); err != nil {
		return errCallerDisconnected
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		return errCallerDisconnected
	}
	return nil
}

// broken reports whether the answer has to end visibly broken.
func (r *callerReply) truncated() bool {
	return r.started && !r.complete
}

// breakOff ends the handler of a broken answer: a return would frame the answer as
// complete.
func (r *callerReply) abort(req *http.Request) {
	if !req.ProtoAtLeast(1, 1) {
		r.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of an answer that has no other end than that of the
// connection. If the server does not hand the connection over, it is closed.
func (r *callerReply) reset() {
	conn, _, err := http.NewResponseController(r.w).Hijack()
	if err != nil {
		return
	}
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0) // fails only if the connection is gone already
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
			h[name] = nil // nothing is added that the server did not send
		}
	}
	if connection != "" {
		h.Set("Connection", connection)
	}
}
