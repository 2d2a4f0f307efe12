package listener

import (
	"bufio"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// errIncomplete ends a body whose writer has not returned.
var errIncomplete = errors.New("the answer is not complete")

// streamBody is the body of an answer that is sent while it comes. It counts as
// broken unless its writer returned no error: the server then sends all that
// was written and closes the connection without the last chunk.
type streamBody struct {
	io.ReadCloser
	writeErr error
}

func newStreamBody(write func(w *bufio.Writer) error) *streamBody {
	b := &streamBody{writeErr: errIncomplete}
	b.ReadCloser = fasthttp.NewStreamReader(func(w *bufio.Writer) { b.writeErr = write(w) })
	return b
}

// Read returns io.EOF only behind a complete answer.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.writeErr != nil {
		err = b.writeErr
	}
	return n, err
}
