package verifier

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/standin/responder"
)

// scanAll checks a response that arrives in parts of the given size. It returns the number of valid bytes.
func scanAll(text string, part int) (int, error) {
	var r Response
	r.Begin("GET")
	for i := 0; i < len(text); i += part {
		chunk := text[i:min(i+part, len(text))]
		n, err := r.Scan([]byte(chunk))
		if err != nil {
			return i + n, err
		}
	}
	return len(text), nil
}

// broken returns all shapes of broken responses.
func broken() []responder.Shape {
	return append(responder.BrokenStatuses("X-Id: 1\r\n"), responder.BrokenFields("X-Id: 1\r\n")...)
}

// The bytes of a response may arrive in any parts.
func TestBrokenResponsesAreFoundInAnyParts(t *testing.T) {
	for _, shape := range broken() {
		whole, err := scanAll(shape.Text, len(shape.Text))
		assert.Assert(t, IsErrBrokenResponse(err), "%s: %v", shape.Name, err)
		for part := range len(shape.Text) {
			valid, partErr := scanAll(shape.Text, part+1)
			assert.Equal(t, valid, whole, shape.Name)
			assert.Equal(t, partErr, err, shape.Name)
		}
	}
}

func TestUnusualResponsesAreValidInAnyParts(t *testing.T) {
	for _, shape := range responder.Sound("X-Id: 1\r\n") {
		for part := range len(shape.Text) {
			_, err := scanAll(shape.Text, part+1)
			assert.NilError(t, err, shape.Name)
		}
	}
}

// Guards against bytes behind a response that are taken for the beginning of the next one, which ends a connection in use.
func TestResponseEndsBeforeTheBytesBehindIt(t *testing.T) {
	for _, shape := range responder.Sound("X-Id: 1\r\n") {
		var r Response
		for range 2 {
			r.Begin("GET")
			_, err := r.Scan([]byte(shape.Text + "no response"))
			assert.NilError(t, err, shape.Name)
			assert.Assert(t, r.ended(), shape.Name)
		}
	}
}

// FuzzResponse checks arbitrary bytes in two parts: the verdict does not depend on where they are split.
func FuzzResponse(f *testing.F) {
	for _, shape := range append(broken(), responder.Sound("X-Id: 1\r\n")...) {
		f.Add([]byte(shape.Text), len(shape.Text)/2)
	}
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		var whole, parts Response
		whole.Begin("GET")
		n, err := whole.Scan(text)
		assert.Assert(t, n <= len(text) && (err != nil || n == len(text)))
		parts.Begin("GET")
		split = max(0, min(split, len(text)))
		m, partErr := parts.Scan(text[:split])
		if partErr == nil {
			var rest int
			rest, partErr = parts.Scan(text[split:])
			m += rest
		}
		assert.Equal(t, m, n)
		assert.Equal(t, partErr, err)
	})
}

func BenchmarkHead(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 07 Dec 2026 06:00:00 GMT\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
		"X-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Load: 3,0,8\r\nKeep-Alive: timeout=5\r\nContent-Length: 1460\r\nConnection: keep-alive\r\n" +
		"Server: engine\r\nCache-Control: no-store\r\nX-Versions: 3\r\n\r\n")
	b.SetBytes(int64(len(head)))
	for range b.N {
		var r Response
		r.Begin("GET")
		n, err := r.Scan(head)
		if n != len(head) || err != nil || r.part != sizedPart {
			b.Fatal(n, err)
		}
	}
}
