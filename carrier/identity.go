package carrier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/verifier"
)

const (
	// maxIdentityBytes limits the answer to an identity call.
	maxIdentityBytes = 256 << 10
	// identityAttempts is the number of connections on which a server is asked that closes each one
	// behind its answer.
	identityAttempts = 2
	// confirmTimeout is how long a server has to tell its incarnation behind an answer, in milliseconds. A slow
	// server has sent the answer all the same; a dead one refuses the connection.
	confirmTimeout = 2 * clocker.Second
)

var (
	identitiesTold      = metrics.NewCounter(`cowsliphinge_backend_identities_total{result="told"}`)
	identitiesOther     = metrics.NewCounter(`cowsliphinge_backend_identities_total{result="other_incarnation"}`)
	identitiesUntold    = metrics.NewCounter(`cowsliphinge_backend_identities_total{result="not_told"}`)
	identitiesMalformed = metrics.NewCounter(`cowsliphinge_backend_identities_total{result="malformed"}`)
	identitiesRefused   = metrics.NewCounter(`cowsliphinge_backend_identities_total{result="failed"}`)
)

// Identity is the call by which a server tells which of its incarnations it is. A server may start again
// under its ID and address, and a connection belongs to one incarnation until it ends.
type Identity struct {
	// Path is the request target of the call.
	Path string
	// StartedAt returns when the incarnation started, from the body of a successful answer, in
	// milliseconds since the Unix epoch; 0 if the body doesn't tell, an error if it is malformed.
	StartedAt func(body []byte) (clocker.Millis, error)
}

// incarnation is what a server told of itself on a connection.
type incarnation struct {
	// asked is true if the server has answered an identity call on the connection.
	asked bool
	// startedAt is when the incarnation started, 0 if the server didn't tell.
	startedAt clocker.Millis
	// toldBefore is true if the server told it on an earlier connection.
	toldBefore bool
}

// tells reports whether the server told on this connection that it is the incarnation which started at startedAt.
func (c *conn) tells(startedAt clocker.Millis) bool {
	return c.incarnation.asked && !c.incarnation.toldBefore && c.incarnation.startedAt == startedAt
}

// ErrOtherIncarnation reports that a server has restarted, or does not tell whether it has.
type ErrOtherIncarnation struct {
	ID string
	// StartedAt is when the incarnation that listens now started, in milliseconds since the Unix epoch;
	// 0 if it is not known.
	StartedAt clocker.Millis
}

func (e ErrOtherIncarnation) Error() string {
	return fmt.Sprintf("server %s is another incarnation, started at %d ms", e.ID, e.StartedAt)
}

// IsErrOtherIncarnation reports whether err wraps an ErrOtherIncarnation.
func IsErrOtherIncarnation(err error) bool {
	var other ErrOtherIncarnation
	return errors.As(err, &other)
}

// suits reports whether a request may be sent on a connection to the server: a connection belongs to one
// incarnation until it ends. Servers that do not tell theirs are taken for the one that the target names.
func (c *Carrier) suits(cn *conn, t Target, r Request) bool {
	if !r.SameIncarnation || c.cfg.Identity == nil || !t.Identifies || t.StartedAt == 0 {
		return true
	}
	return cn.incarnation.asked && (cn.incarnation.startedAt == 0 || cn.incarnation.startedAt == t.StartedAt)
}

// errIdentityStatus is the status with which a server failed to tell its incarnation.
type errIdentityStatus int

func (e errIdentityStatus) Error() string {
	return fmt.Sprintf("the server answered %d when asked for its incarnation", int(e))
}

// dialServer opens a connection to a server and asks which incarnation it is, if servers like it tell. For one
// that closes each connection behind its answer, the answer on the connection just before counts. timeout limits the wait
// for each answer, in milliseconds.
func (c *Carrier) dialServer(ctx context.Context, t Target, timeout clocker.Millis) (*conn, error) {
	if c.cfg.Identity == nil || !t.Identifies {
		return c.dial(ctx, t.Address, c.cfg.DialTimeout)
	}
	var told incarnation
	for range identityAttempts {
		cn, err := c.dial(ctx, t.Address, c.cfg.DialTimeout)
		if err != nil {
			return nil, err
		}
		open, err := c.identify(ctx, cn, t, timeout)
		if err == nil && open && cn.incarnation.asked {
			return cn, nil
		}
		_ = cn.Close()
		if err != nil {
			identitiesRefused.Inc()
			var status errIdentityStatus
			if ctx.Err() == nil && !errors.As(err, &status) && !verifier.IsErrBrokenResponse(err) {
				c.cfg.Dialer.Lost(cn.via)
			}
			return nil, err
		}
		if cn.incarnation.startedAt > 0 || told.startedAt == 0 {
			told = incarnation{asked: true, startedAt: cn.incarnation.startedAt, toldBefore: true}
		}
	}
	cn, err := c.dial(ctx, t.Address, c.cfg.DialTimeout)
	if err == nil {
		cn.incarnation = told
	}
	return cn, err
}

// confirmIncarnation asks a server again behind the header of its response if it told its incarnation before the
// connection was opened: it may have restarted in between.
func (c *Carrier) confirmIncarnation(ctx context.Context, cn *conn, t Target) error {
	if !cn.incarnation.toldBefore || cn.incarnation.startedAt == 0 {
		return nil
	}
	cn.incarnation.toldBefore = false
	if !c.stillRuns(ctx, t) {
		return connector.ErrAborted{Cause: errServerGone}
	}
	return nil
}

// stillRuns reports whether the incarnation that the target names still listens, as far as the server tells.
func (c *Carrier) stillRuns(ctx context.Context, t Target) bool {
	cn, err := c.dialServer(ctx, t, confirmTimeout)
	if err != nil {
		return false
	}
	c.putIdle(t, cn)
	return cn.incarnation.startedAt == t.StartedAt
}

// identify asks a server on a connection which incarnation it is. It reports whether the server keeps the connection
// open afterwards, also with an errIdentityStatus.
func (c *Carrier) identify(ctx context.Context, cn *conn, t Target, timeout clocker.Millis) (open bool, err error) {
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	defer func() {
		if !stop() && err == nil {
			err = ctx.Err()
		}
	}()
	_ = cn.SetDeadline(clocker.FromNow(timeout))
	defer func() { _ = cn.SetDeadline(time.Time{}) }()
	cn.setReadLimit(maxIdentityBytes)
	defer cn.setReadLimit(noReadLimit)
	if _, err := fmt.Fprintf(cn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", c.cfg.Identity.Path, t.Address); err != nil {
		return false, err
	}
	resp, err := readResponseHeader(cn, http.MethodGet)
	if err != nil {
		reportBroken(t, err)
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err = cn.cause(err); err != nil {
		reportBroken(t, err)
		return false, err
	}
	cn.serverIdleTimeout = keepAliveTimeout(resp.Header.Get("Keep-Alive"))
	open = !resp.Close && cn.reader.Buffered() == 0
	return open, c.recordIncarnation(cn, t, resp.StatusCode, body)
}

// recordIncarnation records what the answer to an identity call tells. A server without that call
// doesn't tell. An answer that can't be decoded may be a fault of that one; it leaves the connection unusable. Any
// other failure is an error.
func (c *Carrier) recordIncarnation(cn *conn, t Target, status int, body []byte) error {
	switch status {
	case http.StatusOK, http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
	default:
		return errIdentityStatus(status)
	}
	startedAt := clocker.Millis(0)
	if status == http.StatusOK {
		var err error
		if startedAt, err = c.cfg.Identity.StartedAt(body); err != nil {
			identitiesMalformed.Inc()
			return nil
		}
	}
	cn.incarnation = incarnation{asked: true, startedAt: startedAt}
	if startedAt == 0 {
		identitiesUntold.Inc()
		return nil
	}
	identitiesTold.Inc()
	if t.StartedAt > 0 && startedAt != t.StartedAt {
		identitiesOther.Inc()
		if c.cfg.Restarted != nil {
			c.cfg.Restarted(t, startedAt)
		}
	}
	return nil
}

// Identified reports whether the server told, on the connection of the response, that it is the incarnation
// which the target names.
func (r *Response) Identified() bool {
	return r.StartedAt() > 0 && r.StartedAt() == r.target.StartedAt
}

// StartedAt returns when the server's incarnation started that sends the response, in milliseconds since
// the Unix epoch; 0 if it did not tell.
func (r *Response) StartedAt() clocker.Millis {
	return r.conn.incarnation.startedAt
}
