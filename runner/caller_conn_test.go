package runner

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowsliphinge/admitter"
	"cowsliphinge/clocker"
)

// callerServer serves handler to callers with the bounds of cfg.
func callerServer(t *testing.T, cfg connTrackerConfig, handler http.HandlerFunc) (*connTracker, string) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	cfg.Clock = clocker.NewWall()
	tracker := newBoundedConnTracker(cfg)
	s := &http.Server{Handler: tracker.wrap(handler), ConnContext: tracker.connContext, ConnState: tracker.connState}
	go func() { _ = s.Serve(callerListener{Listener: l, traffic: &traffic{}, tracker: tracker}) }() // ends by Close
	t.Cleanup(func() { _ = s.Close() })
	return tracker, l.Addr().String()
}

// dialCaller opens a connection whose reads fail rather than hang.
func dialCaller(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetReadDeadline(clocker.FromNow(clocker.Minute)))
	return c
}

// get sends a request on a connection and returns the status, or 0 if there is no response.
func get(c net.Conn) int {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // the status is enough
	return resp.StatusCode
}

// assertClosed asserts that the process has closed a connection.
func assertClosed(t *testing.T, c net.Conn) {
	_, err := io.Copy(io.Discard, c)
	assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is open")
}

func ok(http.ResponseWriter, *http.Request) {}

// Guards against descriptors that run out: at the bound the connection without a request for longest leaves,
// not one that was used since.
func TestConnectionWithoutARequestLeavesAtTheBound(t *testing.T) {
	tracker, address := callerServer(t, connTrackerConfig{MaxConns: 2}, ok)
	first, second := dialCaller(t, address), dialCaller(t, address)
	for _, c := range []net.Conn{first, second, first} {
		assert.Equal(t, get(c), http.StatusOK)
		await(tracker.idle) // the request ends after its response
	}
	third := dialCaller(t, address)
	assert.Equal(t, get(third), http.StatusOK)
	assertClosed(t, second)
	assert.Equal(t, get(first), http.StatusOK)
}

// Guards against requests that end for the connections of others.
func TestConnectionsWithRequestsStayAtTheBound(t *testing.T) {
	begun, goOn := make(chan struct{}, 2), make(chan struct{})
	_, address := callerServer(t, connTrackerConfig{MaxConns: 2}, func(http.ResponseWriter, *http.Request) {
		begun <- struct{}{}
		<-goOn
	})
	statuses := make(chan int, 2)
	for range 2 {
		c := dialCaller(t, address)
		go func() { statuses <- get(c) }()
		<-begun
	}
	assertClosed(t, dialCaller(t, address))
	close(goOn)
	assert.Equal(t, <-statuses+<-statuses, 2*http.StatusOK)
}

// Guards against heads that take far more memory parsed than sent.
func TestHeadWithoutRoomClosesItsConnection(t *testing.T) {
	cfg := admitter.Config{Bytes: 20_000, SmallBytes: 20_000}
	budget := admitter.New(cfg)
	_, address := callerServer(t, connTrackerConfig{Memory: budget}, ok)
	c := dialCaller(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 100))
	assert.NilError(t, err)
	assertClosed(t, c)
	assert.Equal(t, get(dialCaller(t, address)), http.StatusOK)
}

// Guards against a full budget without an end: unfinished bodies leave with a status that says why, and the
// heads that stall leave as well.
func TestUnfinishedRequestsLeaveForOthers(t *testing.T) {
	budget := admitter.New(admitter.Config{Bytes: 105_000, SmallBytes: 105_000, LeavingBytes: 105_000})
	reading := make(chan struct{}, 1)
	_, address := callerServer(t, connTrackerConfig{Memory: budget}, func(w http.ResponseWriter, r *http.Request) {
		h := admitter.FromContext(r.Context())
		if r.ContentLength > 0 {
			reading <- struct{}{}
			if _, err := admitter.ReadBody(r.Body, r.ContentLength, h); admitter.IsErrMemoryFull(err) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			return
		}
		if h.Charge(20_000) != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	body := dialCaller(t, address)
	_, err := fmt.Fprintf(body, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n%s", strings.Repeat("b", 59_000))
	assert.NilError(t, err)
	<-reading
	await(func() bool { return budget.Held() >= 60_000 })
	head := dialCaller(t, address)
	_, err = io.WriteString(head, "GET / HTTP/1.1\r\nHost: h\r\na: "+strings.Repeat("a", 9_000))
	assert.NilError(t, err)
	await(func() bool { return budget.Held() >= 97_000 })
	assert.Equal(t, get(dialCaller(t, address)), http.StatusOK)
	resp, err := http.ReadResponse(bufio.NewReader(body), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assertClosed(t, body)
	await(func() bool { return budget.Held() < 30_000 }) // only the head is left
	whole := budget.Open(nil)
	assert.NilError(t, whole.Charge(60_000))
	assert.NilError(t, whole.Finish())
	assert.Equal(t, get(dialCaller(t, address)), http.StatusOK)
	assertClosed(t, head)
}

// await waits until done returns true.
func await(done func() bool) {
	for !done() {
		clocker.NewWall().SleepUncancellable(1)
	}
}

// idle reports whether no connection has a request.
func (c *connTracker) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.conns {
		if state.busy {
			return false
		}
	}
	return true
}

// Guards against responses that hold memory and a server for as long as a caller does not read, and against
// those that look complete then.
func TestResponseThatIsNotReadIsReset(t *testing.T) {
	failed := make(chan error, 1)
	_, address := callerServer(t, connTrackerConfig{Stall: 200}, func(w http.ResponseWriter, _ *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				failed <- err
				return
			}
		}
	})
	c := dialCaller(t, address)
	_, err := io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.ErrorIs(t, <-failed, errCallerStalled)
	_, err = io.Copy(io.Discard, c)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// slowConn takes a few bytes in each write until its deadline, which it reports as the time that passed.
type slowConn struct {
	net.Conn
	clock *clocker.Clock
	step  clocker.Millis
	takes []int
	total int
}

func (c *slowConn) Write([]byte) (int, error) {
	c.clock.Advance(c.step)
	if len(c.takes) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	n := c.takes[0]
	c.takes = c.takes[1:]
	c.total += n
	return n, os.ErrDeadlineExceeded
}

func (*slowConn) SetWriteDeadline(time.Time) error { return nil }
func (*slowConn) Close() error                     { return nil }

// Guards against callers on slow links that are cut off: progress of a single byte restarts the time.
func TestSlowProgressRestartsTheTime(t *testing.T) {
	clock := clocker.NewManual(1_000_000)
	var takes []int
	for range 50 {
		takes = append(takes, 1, 0)
	}
	slow := &slowConn{clock: clock, step: 500, takes: takes}
	c := &callerConn{meteredConn: meteredConn{Conn: slow, traffic: &traffic{}}, clock: clock, stall: 1500}
	began := clock.Now()
	n, err := c.Write(make([]byte, 1000))
	assert.ErrorIs(t, err, errCallerStalled)
	assert.Equal(t, n, 50)
	assert.Equal(t, clock.Now()-began, 100*slow.step+2*slow.step, "the last byte was taken two steps before the last take")
}

// noEvictor is the Evictor of a request that is not evicted.
type noEvictor struct{}

func (noEvictor) Evict() {}

// Guards against responses that nobody reads and that keep the memory budget full until CallerStallMs has passed,
// against cutting off stalled callers while there is room, and against a longer time than CallerStallMs.
func TestResponseThatIsNotReadEndsEarlierWhileMemoryIsShort(t *testing.T) {
	for _, c := range []struct {
		short       bool
		stall, want clocker.Millis
	}{{false, 20_000, 20_000}, {true, 20_000, scarceStall}, {true, 2000, 2000}} {
		budget := admitter.New(admitter.Config{Bytes: 1000, SmallBytes: 1000})
		held := budget.Open(noEvictor{})
		assert.NilError(t, held.Charge(1000))
		assert.NilError(t, held.Finish())
		clock := clocker.NewManual(1_000_000)
		slow := &slowConn{clock: clock, step: 500}
		conn := &callerConn{meteredConn: meteredConn{Conn: slow, traffic: &traffic{}}, clock: clock, stall: c.stall, memory: budget.Open(noEvictor{})}
		if c.short {
			assert.Assert(t, admitter.IsErrMemoryFull(budget.Open(noEvictor{}).Charge(1)))
		}
		began := clock.Now()
		_, err := conn.Write(make([]byte, 1000))
		assert.ErrorIs(t, err, errCallerStalled)
		assert.Equal(t, clock.Now()-began, c.want)
	}
}

// Guards against a bound that ordinary deployments reach, and one that leaves servers no descriptors.
func TestCallersConnectionsAreBoundedByMemoryAndDescriptors(t *testing.T) {
	for _, c := range []struct {
		s    Settings
		want int
	}{
		{Settings{MemoryMb: 144, MaxDescriptors: 3075}, 1473},
		{Settings{MemoryMb: 64, MaxDescriptors: 8192}, 1024},
		{Settings{MemoryMb: 64, MaxDescriptors: 100}, minCallerConns},
	} {
		assert.Equal(t, maxCallerConns(c.s), c.want, "%+v", c.s)
	}
}
