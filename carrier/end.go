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

	asksAnswered = metrics.NewCounter(`cowsliphinge_backend_end_asks_total{result="answered"}`)
	asksFailed   = metrics.NewCounter(`cowsliphinge_backend_end_asks_total{result="failed"}`)
	asksNoConn   = metrics.NewCounter(`cowsliphinge_backend_end_asks_total{result="no_open_connection"}`)
)

// errServerGone is the error of a body that ended with its connection while its server is gone.
var errServerGone = fmt.Errorf("the connection ended, and so did the server: %w", io.ErrUnexpectedEOF)

// IsErrServerGone reports whether err is that of a body which nothing delimits, whose connection ended regularly while
// nothing shows that its server still runs. The body may be complete.
func IsErrServerGone(err error) bool {
	return errors.Is(err, errServerGone)
}

var (
	errNoOpenConn    = errors.New("no connection was open to ask on")
	errAsksFailed    = errors.New("no open connection got an answer")
	errNotSameServer = errors.New("another incarnation answered, or idle connections were closed")
)

// confirmEnd returns nil if the end of its connection is the end of a body that nothing else delimits. The
// kernel closes the connections of a process that dies just as a server ends a whole body, so that the end
// counts only if the same incarnation still answers on a connection that it had accepted before, or accepts one.
// The error wraps errServerGone and says what was missing.
func (r *Response) confirmEnd() error {
	cause := r.askWitness()
	if cause == nil {
		return nil
	}
	if r.witness == nil || r.StartedAt() == 0 {
		if r.carrier.answersOnOlder(r) {
			endsWitnessed.Inc()
			return nil
		}
	}
	if r.witness == nil {
		if cause = r.carrier.goesOn(r); cause == nil {
			endsConfirmed.Inc()
			return nil
		}
	}
	endsUnconfirmed.Inc()
	return fmt.Errorf("%w; %w", errServerGone, cause)
}

// askWitness returns nil if the server of a response answers its witness.
func (r *Response) askWitness() error {
	if r.witness == nil {
		return errNoOpenConn
	}
	r.asked = true
	q, err := r.witness.ask(r.ctx)
	switch {
	case err != nil:
		return err
	case !r.carrier.isSender(r, q.told.startedAt):
		return errNotSameServer
	case q.anew:
		endsConfirmed.Inc()
	default:
		endsWitnessed.Inc()
	}
	return nil
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

// answersOnOlder reports whether the server of a response answers on an idle connection that was open before the request.
// If it does not tell its incarnation, only such a connection shows that it has not restarted.
func (c *Carrier) answersOnOlder(r *Response) bool {
	if c.cfg.Identity == nil {
		return false
	}
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

// goesOn returns nil if the server of a response accepts a connection.
func (c *Carrier) goesOn(r *Response) error {
	cn, err := c.dialServer(r.ctx, incarnationOf(r), confirmTimeout)
	var status errIdentityStatus
	if errors.As(err, &status) && r.StartedAt() == 0 { // it answers, as a plain service without a free slot does
		if !c.closedIdle(r.target) {
			return nil
		}
		return errNotSameServer
	}
	if err != nil {
		return err
	}
	defer c.putIdle(r.target, cn)
	if !c.isSender(r, cn.incarnation.startedAt) {
		return errNotSameServer
	}
	return nil
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
