package connector_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// deadlines is a connection that keeps the deadlines set on it.
type deadlines struct {
	net.Conn
	set []time.Time
}

func (d *deadlines) SetReadDeadline(t time.Time) error {
	d.set = append(d.set, t)
	return nil
}

func (d *deadlines) SetWriteDeadline(t time.Time) error {
	return d.SetReadDeadline(t)
}

func (*deadlines) Read([]byte) (int, error)    { return 1, nil }
func (*deadlines) Write(b []byte) (int, error) { return len(b), nil }

// Guards against: deadlines of connections follow the time of day, so that after a step
// forward each exchange ends at once, and after a step back silence is found late.
func TestDeadlinesAreSteady(t *testing.T) {
	conn := &deadlines{}
	p := connector.NewProgressConn(conn, clocker.Minute)
	for _, exchange := range []clocker.Millis{0, clocker.Second, clocker.Hour} {
		end := time.Time{}
		if exchange != 0 {
			end = clocker.FromNow(exchange)
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
	assert.Assert(t, conn.set[2].Before(conn.set[0]), "the exchange ends before the time-out")
	assert.Assert(t, conn.set[4].Before(clocker.FromNow(clocker.Hour)), "the time-out ends before the exchange")
}
