package carrier

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// parts is a Payload that counts its users and closes free once there are none.
type parts struct {
	content [][]byte
	users   atomic.Int32
	free    chan struct{}
}

func newParts(content ...string) *parts {
	p := &parts{free: make(chan struct{})}
	for _, c := range content {
		p.content = append(p.content, []byte(c))
	}
	p.users.Store(1)
	return p
}

func (p *parts) Len() int64 {
	n := 0
	for _, c := range p.content {
		n += len(c)
	}
	return int64(n)
}

func (p *parts) Parts() [][]byte { return p.content }
func (p *parts) Retain() bool    { return p.users.Load() > 0 && p.users.Add(1) > 0 }

func (p *parts) Release() {
	if p.users.Add(-1) == 0 {
		close(p.free)
	}
}

func payloadRequest(p Payload) Request {
	return Request{ID: "id-p", Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {"id-p"}}, Payload: p, MaxIdleTime: clocker.Minute}
}

// Guards against bodies that lose or repeat a part, whether they are copied behind the head or not.
func TestPayloadIsSentWhole(t *testing.T) {
	var got atomic.Pointer[string]
	address, _ := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // compared below
		text := string(body)
		got.Store(&text)
		assert.Check(t, r.ContentLength == int64(len(text)))
	})
	c := newCarrier(clocker.NewWall())
	for _, size := range []int{1, 3000, maxJoinedBytes / 2, 100_000} {
		p := newParts(strings.Repeat("a", size), strings.Repeat("b", size/2+1))
		for range 2 { // the second one as another attempt
			resp, err := c.Send(context.Background(), Target{ID: "s", Address: address}, payloadRequest(p))
			assert.NilError(t, err)
			_, err = io.ReadAll(resp)
			assert.NilError(t, err)
			resp.Close()
			assert.Equal(t, *got.Load(), strings.Repeat("a", size)+strings.Repeat("b", size/2+1))
		}
		p.Release()
		<-p.free
	}
}

// Guards against parts that are reused for another body while a write still sends them: a server may answer
// before it has read the request.
func TestPayloadIsRetainedUntilItsWriteEnds(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	served := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.ReadFull(conn, make([]byte, 10)) // the request has begun
		_, _ = io.WriteString(conn, "HTTP/1.1 413 X\r\nX-Id: id-p\r\nContent-Length: 0\r\n\r\n")
		served <- conn
	}()
	p := newParts(strings.Repeat("a", 32<<20)) // more than the kernel takes
	resp, err := newCarrier(clocker.NewWall()).Send(context.Background(), Target{ID: "s", Address: l.Addr().String()}, payloadRequest(p))
	assert.NilError(t, err)
	conn := <-served
	defer func() { _ = conn.Close() }()
	p.Release()
	assert.Equal(t, p.users.Load(), int32(1), "the write still uses it")
	resp.Close()
	<-p.free
}

// Guards against a request without its body: once the parts are released nothing may be sent.
func TestReleasedPayloadIsNotSent(t *testing.T) {
	address, _ := newServer(t, func(http.ResponseWriter, *http.Request) { t.Error("a request arrived") })
	p := newParts("body")
	p.Release()
	_, err := newCarrier(clocker.NewWall()).Send(context.Background(), Target{ID: "s", Address: address}, payloadRequest(p))
	assert.Assert(t, connector.IsErrNotSent(err), "%v", err)
}
