package carrier

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

var (
	endsConfirmed   = metrics.NewCounter(`cowsliphinge_backend_unframed_ends_total{result="confirmed"}`)
	endsWitnessed   = metrics.NewCounter(`cowsliphinge_backend_unframed_ends_total{result="open_connection_answers"}`)
	endsUnconfirmed = metrics.NewCounter(`cowsliphinge_backend_unframed_ends_total{result="server_gone"}`)
)

// errServerGone is the error of a body that ended with its connection while its server is gone.
var errServerGone = fmt.Errorf("the connection ended, and so did the server: %w", io.ErrUnexpectedEOF)

// IsErrServerGone reports whether err is that of a body which nothing delimits, whose connection ended regularly while
// nothing shows that its server still runs. The body may be complete.
func IsErrServerGone(err error) bool {
	return errors.Is(err, errServerGone)
}

// confirmEnd reports whether the end of its connection is the end of a body that nothing else delimits. The
// kernel closes the connections of a process that dies just as a server ends a whole body, so that the end
// counts only if the same incarnation still answers on a connection that it had accepted before, or accepts one.
func (r *Response) confirmEnd() bool {
	switch {
	case r.carrier.answersElsewhere(r):
		endsWitnessed.Inc()
	case r.carrier.goesOn(r):
		endsConfirmed.Inc()
	default:
		endsUnconfirmed.Inc()
		return false
	}
	return true
}

// incarnationOf returns the target of a response with the incarnation that sends it, as far as it is known.
func incarnationOf(r *Response) Target {
	t := r.target
	t.Identifies = true // also where new connections are not worth the call
	if startedAt := r.StartedAt(); startedAt > 0 {
		t.StartedAt = startedAt
	}
	return t
}

// answersElsewhere reports whether the server of a response answers on another connection that was opened before the
// end of the response.
func (c *Carrier) answersElsewhere(r *Response) bool {
	if c.cfg.Identity == nil {
		return false
	}
	if r.witness != nil {
		if told, ok := r.witness.ask(); ok && c.isSender(r, told.startedAt) {
			return true
		}
	}
	// If the server does not tell its incarnation, only a connection from before the request shows that it has
	// not restarted.
	t := incarnationOf(r)
	cn := c.popIdleWhere(t, func(cn *conn) bool {
		return (r.StartedAt() > 0 && cn.tells(t.StartedAt) || r.StartedAt() == 0 && cn.number < r.conn.number) && cn.isReusable()
	})
	if cn == nil {
		return false
	}
	told, reusable, ok := c.askOn(r.ctx, cn, t)
	if reusable || cn.isClosed() { // closedIdle has to find it
		c.putIdle(r.target, cn)
	} else {
		_ = cn.Close()
	}
	return ok && told.startedAt == r.StartedAt()
}

// isSender reports whether a server that told when it started, 0 if it did not, is the incarnation that sent a response.
// One that does not tell has restarted if it has closed any idle connection as well.
func (c *Carrier) isSender(r *Response, startedAt clocker.Millis) bool {
	t := incarnationOf(r)
	if startedAt > 0 && t.StartedAt > 0 || r.StartedAt() > 0 {
		return startedAt == t.StartedAt
	}
	return !c.closedIdle(t)
}

// goesOn reports whether the server of a response accepts a connection.
func (c *Carrier) goesOn(r *Response) bool {
	cn, err := c.dialServer(r.ctx, incarnationOf(r), confirmTimeout)
	var status errIdentityStatus
	if errors.As(err, &status) && r.StartedAt() == 0 { // it answers, as a plain service without a free slot does
		return !c.closedIdle(r.target)
	}
	if err != nil {
		return false
	}
	defer c.putIdle(r.target, cn)
	return c.isSender(r, cn.incarnation.startedAt)
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
