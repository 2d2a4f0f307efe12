package listener

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"cowsliphinge/admitter"
	"cowsliphinge/dispatcher"
)

const (
	// callCopies and completionCopies are the charges for a byte of a body. A call's body is copied once for the
	// backend server and once for the hash of its claim. A completion's is copied, parsed into its fields and its
	// messages, and written again for the engine.
	callCopies       = 3
	completionCopies = 6
	// headCopies is the charge for a byte of a head: it is kept as read, parsed, and in part sent on.
	headCopies = 3
	// maxUnreadBytes is the length up to which the rest of a refused body is read, so that its connection can be
	// used again.
	maxUnreadBytes = 8 << 10
)

// chunkedLength is the length that the HTTP library reports for a chunked body.
const chunkedLength = -1

// errTooLarge is the error of a body above the limit.
var errTooLarge = errors.New("the body is too large")

// chargedBody limits a body and charges the copies that will be made of it.
type chargedBody struct {
	body    io.Reader
	holding *admitter.Holding
	left    int64
	copies  int64
}

// Read implements io.Reader.
func (c *chargedBody) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	if c.left -= int64(n); c.left < 0 {
		return n, errTooLarge
	}
	if charge := c.holding.Charge(int64(n) * (c.copies - 1)); charge != nil {
		return n, charge
	}
	return n, err
}

// readBody reads the body of a request. After a refusal the connection is closed, unless little of the body is left.
func (l *Listener) readBody(ctx *fasthttp.RequestCtx, call dispatcher.Call, copies int64) ([]byte, *dispatcher.Refusal) {
	ctx.SetUserValue(bodyReadKey{}, true)
	conn := callerConnOf(ctx.Conn())
	var holding *admitter.Holding
	if conn != nil {
		holding = conn.holding
	}
	body, err := l.readCharged(ctx, holding, copies)
	if err == nil {
		if conn != nil {
			l.conns.markBusy(conn)
		}
		return body, nil
	}
	ctx.SetConnectionClose()
	code, message := dispatcher.CodeBadRequest, "the body could not be read"
	switch {
	case admitter.IsErrMemoryFull(err):
		code, message = dispatcher.CodeMemoryFull, "the memory for requests is taken"
		l.conns.closeStalled()
	case errors.Is(err, errTooLarge):
		code, message = dispatcher.CodeTooLarge, "the body is too large"
	}
	return nil, dispatcher.NewRefusal(code, call.RequestID, !call.NeedsClaim(), message)
}

// readCharged reads a body in charged chunks and returns it in one piece.
func (l *Listener) readCharged(ctx *fasthttp.RequestCtx, holding *admitter.Holding, copies int64) ([]byte, error) {
	announced := int64(ctx.Request.Header.ContentLength())
	if announced > l.cfg.MaxBodyBytes || len(ctx.Request.Header.Peek(tooLargeHeader)) > 0 {
		return nil, errTooLarge
	}
	if err := holding.Charge(admitter.RequestBytes + headCopies*int64(len(ctx.Request.Header.RawHeaders()))); err != nil {
		return nil, err
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return append([]byte(nil), ctx.PostBody()...), holding.Finish() // a request without a body
	}
	chunks, err := admitter.ReadBody(&chargedBody{body: stream, holding: holding, left: l.cfg.MaxBodyBytes, copies: copies}, announced, holding)
	if err != nil {
		return nil, err
	}
	defer chunks.Release()
	if chunks.Len() < announced { // the library reports the end of the connection as the end of the body
		return nil, io.ErrUnexpectedEOF
	}
	if err := holding.Finish(); err != nil {
		return nil, err
	}
	body := make([]byte, 0, chunks.Len())
	for _, part := range chunks.Parts() {
		body = append(body, part...)
	}
	return body, nil
}

// tooLargeHeader marks, within the process, the head of a request that announced a body above the limit.
const tooLargeHeader = "X-Body-Too-Large"

// headReceived takes the body off a request that announces one above the limit, since the HTTP library would wait
// for the first bytes of it before the request can be refused.
func (l *Listener) headReceived(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	header.Del(tooLargeHeader)
	if int64(header.ContentLength()) > l.cfg.MaxBodyBytes {
		header.SetContentLength(0)
		header.Set(tooLargeHeader, "1")
		header.SetConnectionClose()
	}
	return fasthttp.RequestConfig{}
}

// bodyReadKey marks requests whose body was read, or refused with a closed connection.
type bodyReadKey struct{}

// closeUnread closes the connection after the answer to a request whose body was not read, unless little of it is
// left: the server would read up to 256 KB of it.
func closeUnread(ctx *fasthttp.RequestCtx) {
	if !ctx.Request.IsBodyStream() || ctx.UserValue(bodyReadKey{}) != nil {
		return
	}
	length := ctx.Request.Header.ContentLength()
	if length > maxUnreadBytes || length == chunkedLength {
		ctx.SetConnectionClose()
	}
}
