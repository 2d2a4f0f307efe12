package relayer

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/admitter"
)

func TestEventBufferReturnsCompleteEvents(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\r\nid: 5\r\ndata: e\r\n\n"
	for size := 1; size <= len(stream); size++ {
		var buffer eventBuffer
		var got []event
		for at := 0; at < len(stream); at += size {
			got = append(got, splitEvents(buffer.add([]byte(stream[at:min(at+size, len(stream))])))...)
		}
		assert.Assert(t, !buffer.hasPartial(), "reads of %d bytes", size)
		text := ""
		var ids []int64
		for _, e := range got {
			text += string(e.bytes)
			ids = append(ids, e.number)
		}
		assert.Equal(t, text, stream)
		assert.DeepEqual(t, ids, []int64{1, 2, unnumbered, 3, 4, 5})
	}
}

func TestEventBufferReportsAPartialEvent(t *testing.T) {
	var buffer eventBuffer
	assert.Equal(t, string(buffer.add([]byte("id: 1\ndata: a\n\nid: 2\nda"))), "id: 1\ndata: a\n\n")
	assert.Assert(t, buffer.hasPartial())
}

// Guards against a large event that stays charged, or its buffer held, after it was sent.
func TestEventBufferIsChargedWhileItIsLarge(t *testing.T) {
	budget := admitter.New(admitter.ForMemory(64))
	buffer := eventBuffer{memory: budget.Open(noEvictor{})}
	part := []byte(strings.Repeat("d", streamReadBytes))
	for n := 1; n <= 31; n++ {
		assert.NilError(t, buffer.reserve(len(part)))
		buffer.add(part)
		assert.Assert(t, n == 1 || budget.Held() >= int64(eventCopies*cap(buffer.pending)), "%d bytes for %d", budget.Held(), cap(buffer.pending))
		buffer.shrink()
	}
	assert.Assert(t, budget.Held() <= eventCopies*(maxEventBytes+streamReadBytes))
	assert.NilError(t, buffer.reserve(5))
	assert.Equal(t, len(buffer.add([]byte("\n\nid:"))), 31*streamReadBytes+2)
	buffer.shrink()
	assert.Equal(t, budget.Held(), int64(0))
	assert.Equal(t, string(buffer.pending), "id:")
	assert.Assert(t, cap(buffer.pending) <= freeEventBytes)
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: x\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var buffer eventBuffer
		n := 0
		for _, e := range splitEvents(buffer.add(b)) {
			n += len(e.bytes)
		}
		assert.Equal(t, n+len(buffer.pending), len(b))
	})
}

func Example_parseTokens() {
	fmt.Println(parseTokens("1460,80"))
	fmt.Println(parseTokens("1460"))
	fmt.Println(*parseLoad("3,0,8"), parseLoad("x") == nil)
	// Output:
	// 1460 80 true
	// 0 0 false
	// {3 0 8} true
}

// Lines of events, and lines of a response or a text that a failing server wrote in their place.
func TestLinesThatAreNoEventAreMalformed(t *testing.T) {
	for block, malformed := range map[string]bool{
		"id: 1\ndata: d\n\n":       false,
		"data\n\n":                 false,
		"data: HTTP/1.1 500 X\n\n": false,
		": ping\n\n":               false,
		"event: x\r\nretry: 3\r\ndata: d\r\n\r\n": false,
		"x-weight-versions: 2\nid: 4\ndata:d\n\n": false,
		"\n\n":                     false,
		"HTTP/1.1 500 X\r\n\r\n":   true,
		"HTTP/1.1 500 a:b\r\n\r\n": true,
		"id: 5\ndaHTTP/1.1 500 X\r\nX-Id: a\r\n\r\n":  true,
		"id: 5\ndata: dHTTP/1.1 X\r\nX-Id: a\r\n\r\n": true,
		"failed\n\n":        true,
		"{\"error\":1}\n\n": true,
		"<html>\n\n":        true,
	} {
		assert.Equal(t, splitEvents([]byte(block))[0].malformed, malformed, "%q", block)
	}
}
