package listener

import (
	"bufio"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// errIncomplete is the read error of a body whose writer has not returned yet.
var errIncomplete = errors.New("the answer is not complete")

// streamBody is the body of a streamed answer. Unless its writer returned without an
// error, reading the body fails at the end: the server then sends all that was
// written and closes the connection without the last chunk.
type streamBody struct {
	io.ReadCloser
	writeErr error
}

func newStreamBody(write func(w *bufio.Writer) error) *streamBody {
	b := &streamBody{writeErr: errIncomplete}
	b.ReadCloser = fasthttp.NewStreamReader(func(w *bufio.Writer) { b.writeErr = write(w) })
	return b
}

// Read returns io.EOF only at the end of a complete answer.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.writeErr != nil {
		err = b.writeErr
	}
	return n, err
}
