package carrier

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

var (
	endsConfirmed   = metrics.NewCounter(`cowsliphinge_backend_unframed_ends_total{result="confirmed"}`)
	endsUnconfirmed = metrics.NewCounter(`cowsliphinge_backend_unframed_ends_total{result="server_gone"}`)
)

// errServerGone is the error of a body that ended with its connection while its server is gone.
var errServerGone = fmt.Errorf("the connection ended, and so did the server: %w", io.ErrUnexpectedEOF)

// confirmEnd reports whether the end of its connection is the end of a body that nothing else delimits. The
// kernel closes the connections of a process that dies just as a server ends a whole body, so that the end
// counts only if the same incarnation still listens.
func (r *Response) confirmEnd() bool {
	confirmed := r.carrier.goesOn(r)
	if confirmed {
		endsConfirmed.Inc()
	} else {
		endsUnconfirmed.Inc()
	}
	return confirmed
}

// goesOn reports whether the server of a response still runs. A server that does not tell its incarnation
// has restarted if it has closed any idle connection as well.
func (c *Carrier) goesOn(r *Response) bool {
	t := r.target
	t.Identifies = true // also where new connections are not worth the call
	if startedAt := r.StartedAt(); startedAt > 0 {
		t.StartedAt = startedAt
	}
	cn, err := c.dialServer(r.ctx, t, confirmTimeout)
	var status errIdentityStatus
	if errors.As(err, &status) && r.StartedAt() == 0 { // it answers, as a plain service without a free slot does
		return !c.closedIdle(t)
	}
	if err != nil {
		return false
	}
	defer c.putIdle(r.target, cn)
	told := cn.incarnation.startedAt
	if told > 0 && t.StartedAt > 0 || r.StartedAt() > 0 {
		return told == t.StartedAt
	}
	return !c.closedIdle(t)
}

// closedIdle reports whether a server has closed an idle connection that it had reason to keep.
func (c *Carrier) closedIdle(t Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	for _, cn := range c.idle[t.ID] {
		if now-cn.idleSince <= c.idleTimeout(cn) && cn.isClosed() {
			return true
		}
	}
	return false
}

// isClosed reports whether the server has closed the connection.
func (c *conn) isClosed() bool {
	n, err := c.peek()
	return n == 0 && (err == nil || errors.Is(err, syscall.ECONNRESET))
}
