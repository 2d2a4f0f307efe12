package soaker

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// maxLine bounds a line of an answer's head, in bytes.
const maxLine = 16 << 10

// errFraming is wrapped by errors of answers that are no HTTP/1.1. Answers that
// break off have others.
var errFraming = errors.New("malformed")

// answer is an answer as its bytes frame it.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// readAnswer reads one answer and accepts nothing but what HTTP/1.1 asks a server to
// send. The answer is complete only if there is no error; else it holds what came.
func readAnswer(r *bufio.Reader) (answer, error) {
	a := answer{header: http.Header{}}
	line, err := readLine(r)
	if err != nil {
		return a, err
	}
	if n, _ := fmt.Sscanf(line, "HTTP/1.1 %3d ", &a.status); n != 1 || a.status < 200 {
		return a, fmt.Errorf("%w status line %q", errFraming, line)
	}
	for {
		line, err := readLine(r)
		if err != nil {
			return a, err
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return a, fmt.Errorf("%w header line %q", errFraming, line)
		}
		a.header.Add(name, strings.Trim(value, " \t"))
	}
	return a, a.readBody(r)
}

func (a *answer) readBody(r *bufio.Reader) error {
	lengths, codings := a.header.Values("Content-Length"), a.header.Values("Transfer-Encoding")
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
		return nil
	case len(lengths) == 0 && len(codings) == 1 && codings[0] == "chunked":
		return a.readChunks(r)
	case len(lengths) == 1 && len(codings) == 0:
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil {
			return fmt.Errorf("%w length %q", errFraming, lengths[0])
		}
		return a.read(r, int64(n))
	}
	// A body that ends with its connection can't be told from one that breaks off.
	return fmt.Errorf("%w body: lengths %q, codings %q", errFraming, lengths, codings)
}

func (a *answer) readChunks(r *bufio.Reader) error {
	for {
		line, err := readLine(r)
		if err != nil {
			return err
		}
		n, err := strconv.ParseUint(line, 16, 31)
		if err != nil {
			return fmt.Errorf("%w chunk size %q", errFraming, line)
		}
		if err := a.read(r, int64(n)); err != nil {
			return err
		}
		end, err := readLine(r)
		if err != nil {
			return err
		}
		if end != "" {
			return fmt.Errorf("%w end of a chunk %q", errFraming, end)
		}
		if n == 0 {
			return nil
		}
	}
}

// read takes n bytes of the body.
func (a *answer) read(r *bufio.Reader, n int64) error {
	var b bytes.Buffer
	_, err := io.CopyN(&b, r, n)
	a.body = append(a.body, b.Bytes()...)
	return err
}

// readLine returns a line without its end.
func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		b, err := r.ReadByte()
		if err != nil {
			return "", err
		}
		line = append(line, b)
		if b == '\n' {
			break
		}
		if len(line) > maxLine {
			return "", fmt.Errorf("%w line without end", errFraming)
		}
	}
	whole, ok := strings.CutSuffix(string(line), "\r\n")
	if !ok {
		return "", fmt.Errorf("%w line end %q", errFraming, line)
	}
	return whole, nil
}
