package connector_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// deadlineRecorder is a connection that records the deadlines set on it.
type deadlineRecorder struct {
	net.Conn
	set []time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.set = append(d.set, t)
	return nil
}

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	return d.SetReadDeadline(t)
}

func (*deadlineRecorder) Read([]byte) (int, error)    { return 1, nil }
func (*deadlineRecorder) Write(b []byte) (int, error) { return len(b), nil }

// Guards against: deadlines of connections are wall clock times, so that after a step
// forward each request times out at once, and after a step back a silent connection is
// detected late.
func TestDeadlinesFollowTheMonotonicClock(t *testing.T) {
	conn := &deadlineRecorder{}
	p := connector.NewProgressConn(conn, clocker.Minute)
	for _, deadlineFromNow := range []clocker.Millis{0, clocker.Second, clocker.Hour} {
		end := time.Time{}
		if deadlineFromNow != 0 {
			end = clocker.FromNow(deadlineFromNow)
		}
		assert.NilError(t, p.SetReadDeadline(end))
		_, err := p.Read(make([]byte, 1))
		assert.NilError(t, err)
		_, err = p.Write([]byte("x"))
		assert.NilError(t, err)
	}
	assert.Equal(t, len(conn.set), 6)
	for _, set := range conn.set {
		assert.Assert(t, set != set.Round(0), "%v has no monotonic reading", set)
	}
	assert.Assert(t, conn.set[2].Before(conn.set[0]), "the deadline of the request precedes the timeout")
	assert.Assert(t, conn.set[4].Before(clocker.FromNow(clocker.Hour)), "the timeout precedes the deadline of the request")
}
