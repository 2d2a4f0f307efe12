package verifier

import (
	"errors"
	"net/http"

	"github.com/valyala/fasthttp"
)

// ErrUndelimited means that a body has neither a length nor chunks. It ends like a connection whose server has died, so
// that a part can't be told from the whole.
var ErrUndelimited = errors.New("the body has neither a length nor chunks")

// chunkedLength is the length that fasthttp reports for a chunked body.
const chunkedLength = -1

// CheckDelimited returns ErrUndelimited for a response of fasthttp whose body was not read yet and ends with its
// connection.
func CheckDelimited(r *fasthttp.Response) error {
	if r.IsBodyStream() && r.Header.ContentLength() < chunkedLength {
		return ErrUndelimited
	}
	return nil
}

// DelimitedTransport fails for responses whose body ends with its connection.
type DelimitedTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t DelimitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err == nil && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		_ = resp.Body.Close() // the connection is discarded
		return nil, ErrUndelimited
	}
	return resp, err
}
