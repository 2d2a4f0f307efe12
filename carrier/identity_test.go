package carrier

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// identityPath is where test servers tell their incarnation, as a number.
const identityPath = "/who"

var errTestIdentity = errors.New("no number")

func testIdentity() *Identity {
	return &Identity{Path: identityPath, StartedAt: func(body []byte) (clocker.Millis, error) {
		if len(body) == 0 {
			return 0, nil
		}
		startedAt, err := strconv.ParseInt(string(body), 10, 64)
		if err != nil {
			return 0, errTestIdentity
		}
		return clocker.Millis(startedAt), nil
	}}
}

// identityServer is a server that tells its incarnation.
type identityServer struct {
	address       string
	conns         *atomic.Int64
	asked, served atomic.Int64
	tell          atomic.Pointer[http.HandlerFunc]
}

func newIdentityServer(t *testing.T, tell http.HandlerFunc) *identityServer {
	s := &identityServer{}
	s.tell.Store(&tell)
	s.address, s.conns = newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == identityPath {
			s.asked.Add(1)
			w.Header().Del("X-Id")
			(*s.tell.Load())(w, r)
			return
		}
		s.served.Add(1)
		_, _ = w.Write([]byte("ok"))
	})
	return s
}

func tellStart(startedAt int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, startedAt) }
}

func tellStatus(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

func newIdentityCarrier(restarted func(Target, clocker.Millis)) *Carrier {
	return New(Config{
		Clock: clocker.NewWall(), RequestIDHeader: "X-Id", DialTimeout: clocker.Second, IdleTimeout: 10 * clocker.Second,
		Identity: testIdentity(), Restarted: restarted,
	})
}

// A server is asked once on each connection, before the first request, and only if it is of a kind that tells.
func TestServersAreAskedOncePerConnection(t *testing.T) {
	s := newIdentityServer(t, tellStart(7))
	c := newIdentityCarrier(func(Target, clocker.Millis) { t.Error("restarted") })
	engine := Target{ID: "one", Address: s.address, StartedAt: 7, Identifies: true}
	for range 3 {
		_, err := send(t, c, engine, clocker.Minute)
		assert.NilError(t, err)
	}
	assert.Equal(t, s.asked.Load(), int64(1))
	assert.Equal(t, s.conns.Load(), int64(1))
	_, err := send(t, c, Target{ID: "plain", Address: s.address, StartedAt: 7}, clocker.Minute)
	assert.NilError(t, err)
	assert.Equal(t, s.asked.Load(), int64(1))
	assert.Equal(t, s.served.Load(), int64(4))
}

func TestOtherIncarnationsAreReported(t *testing.T) {
	s := newIdentityServer(t, tellStart(8))
	var reported []clocker.Millis
	c := newIdentityCarrier(func(_ Target, startedAt clocker.Millis) { reported = append(reported, startedAt) })
	_, err := send(t, c, Target{ID: "one", Address: s.address, StartedAt: 7, Identifies: true}, clocker.Minute)
	assert.NilError(t, err)
	assert.DeepEqual(t, reported, []clocker.Millis{8})
}

// A server that fails to tell gets no request, and that is known not to have run.
func TestServersThatFailToTellGetNoRequest(t *testing.T) {
	for name, tell := range map[string]http.HandlerFunc{
		"503": tellStatus(http.StatusServiceUnavailable),
		"421": tellStatus(http.StatusMisdirectedRequest),
		"cut": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"endless": func(w http.ResponseWriter, _ *http.Request) {
			for b := make([]byte, 64<<10); ; {
				if _, err := w.Write(b); err != nil {
					return
				}
			}
		},
	} {
		s := newIdentityServer(t, tell)
		_, err := send(t, newIdentityCarrier(nil), Target{ID: "one", Address: s.address, StartedAt: 7, Identifies: true}, clocker.Minute)
		assert.Assert(t, connector.IsErrNotSent(err), "%s: %v", name, err)
		assert.Equal(t, s.served.Load(), int64(0), name)
	}
}

// A server without the call is used as before, and so is one that closes each connection behind it.
func TestServersWithoutTheCallAreUsed(t *testing.T) {
	for name, tell := range map[string]http.HandlerFunc{
		"not found":  tellStatus(http.StatusNotFound),
		"not told":   tellStatus(http.StatusOK),
		"needs ID":   tellStatus(http.StatusBadRequest),
		"malformed":  func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) },
		"then close": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") },
	} {
		s := newIdentityServer(t, tell)
		c := newIdentityCarrier(nil)
		for _, same := range []bool{true, false} {
			assert.NilError(t, sendToIncarnation(c, Target{ID: "one", Address: s.address, StartedAt: 7, Identifies: true}, same), name)
		}
	}
}

// A garbled answer does not hide the incarnation, and a server that closes the connection behind its
// answer is the one that it told on that connection.
func TestIncarnationIsAskedAgain(t *testing.T) {
	for name, first := range map[string]http.HandlerFunc{
		"garbled": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) },
		"close": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = w.Write([]byte("8"))
		},
	} {
		calls := 0
		s := newIdentityServer(t, func(w http.ResponseWriter, r *http.Request) {
			if calls++; calls == 1 || name == "close" {
				first(w, r)
				return
			}
			tellStart(8)(w, r)
		})
		c := newIdentityCarrier(nil)
		engine := Target{ID: "one", Address: s.address, StartedAt: 7, Identifies: true}
		assert.Assert(t, IsErrOtherIncarnation(errors.Unwrap(sendToIncarnation(c, engine, true))), name)
		engine.StartedAt = 8
		assert.NilError(t, sendToIncarnation(c, engine, true), name)
	}
}

// sendToIncarnation sends a request, to the incarnation of the target alone if same is true.
func sendToIncarnation(c *Carrier, t Target, same bool) error {
	id := fmt.Sprint("id-", lastID.Add(1))
	resp, err := c.Send(context.Background(), t, Request{ID: id, Method: "POST", URI: "/", Host: "h", Header: http.Header{"X-Id": {id}}, SameIncarnation: same, MaxIdleTime: clocker.Minute})
	if err != nil {
		return err
	}
	resp.Close()
	return nil
}

// Guards against a request on an idle connection to the incarnation before, or on one whose server was never asked.
func TestIdleConnectionsOfOtherIncarnationsAreNotUsed(t *testing.T) {
	s := newIdentityServer(t, tellStart(8))
	c := newIdentityCarrier(nil)
	engine := Target{ID: "one", Address: s.address, StartedAt: 8, Identifies: true}
	unasked := engine
	unasked.Identifies = false
	_, err := send(t, c, unasked, clocker.Minute)
	assert.NilError(t, err)
	assert.NilError(t, sendToIncarnation(c, engine, true))
	assert.Equal(t, s.conns.Load(), int64(2))
	engine.StartedAt = 7
	err = sendToIncarnation(c, engine, true)
	assert.Assert(t, connector.IsErrNotSent(err) && IsErrOtherIncarnation(errors.Unwrap(err)), "%v", err)
	assert.Equal(t, s.served.Load(), int64(2))
}

// The caller's time limit ends the wait for a server that stays silent.
func TestIdentityCallEndsWithTheRequest(t *testing.T) {
	ended := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	s := newIdentityServer(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
		close(ended)
	})
	_, err := newIdentityCarrier(nil).Send(ctx, Target{ID: "one", Address: s.address, Identifies: true}, Request{ID: "1", Method: "POST", URI: "/", Host: "h", Header: http.Header{}})
	assert.Assert(t, connector.IsErrNotSent(err), "%v", err)
	<-ended
}

// Guards against a whole answer of a plain service that becomes a failure: the service has no free slot for the
// question whether it goes on.
func TestAnswerWithoutLengthOfAFullServiceIsWhole(t *testing.T) {
	address, _ := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == identityPath {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nwhole", r.Header.Get("X-Id"))
		_ = conn.Close()
	})
	body, err := send(t, newIdentityCarrier(nil), Target{ID: "one", Address: address, StartedAt: 7}, clocker.Minute)
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
}
