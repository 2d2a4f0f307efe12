package carrier

import (
	"context"
	"errors"
	"slices"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

const (
	// maxIdleConnsPerServer limits the idle connections to one server.
	maxIdleConnsPerServer = 32
	// maxRequestsPerConn limits the requests on one connection, which keeps hashes
	// of their IDs.
	maxRequestsPerConn = 1024
	// idleMargin is how long before the server's idle timeout a connection is no
	// longer reused, in milliseconds.
	idleMargin = clocker.Second
)

var (
	connections       = metrics.NewCounter("cowsliphinge_backend_connections_total")
	failedConnections = metrics.NewCounter("cowsliphinge_backend_connections_failed_total")
)

// getConn returns an idle connection or a new one, to the incarnation that the request requires.
func (c *Carrier) getConn(ctx context.Context, t Target, r Request) (*conn, error) {
	for {
		cn := c.popIdle(t, r)
		if cn == nil {
			break
		}
		if cn.isReusable() {
			return cn, nil
		}
		_ = cn.Close()
	}
	cn, err := c.dialServer(ctx, t, c.cfg.DialTimeout)
	if err == nil && !c.suits(cn, t, r) {
		c.putIdle(t, cn) // for requests that any incarnation may get
		return nil, ErrOtherIncarnation{ID: t.ID, StartedAt: cn.incarnation.startedAt}
	}
	return cn, err
}

// Ended reports whether the incarnation of a server has ended: nothing accepts connections at its address, as after
// its crash, or another incarnation does. It is false if that is not certain, as on a path that loses or resets
// connections.
func (c *Carrier) Ended(ctx context.Context, t Target, timeout clocker.Millis) bool {
	cn, err := c.dial(ctx, t.Address, timeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if c.cfg.Identity == nil || !t.Identifies || t.StartedAt == 0 {
		_ = cn.Close()
		return false
	}
	open, err := c.identify(ctx, cn, t, c.cfg.DialTimeout)
	if err != nil || !open || !cn.incarnation.asked {
		_ = cn.Close()
	} else {
		c.putIdle(t, cn)
	}
	told := cn.incarnation.startedAt
	return err == nil && told > 0 && told != t.StartedAt
}

// popIdle removes and returns the most recently used connection that suits the request, has not been idle
// for too long and has not carried a request with the same ID: a second response to that
// request could not be distinguished from the response to this one.
func (c *Carrier) popIdle(t Target, r Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	conns := c.idle[t.ID]
	for i := len(conns) - 1; i >= 0; i-- {
		cn := conns[i]
		idleTime := now - cn.idleSince
		expired := idleTime > c.idleTimeout(cn) || !c.cfg.Dialer.Usable(cn.via) || cn.address != t.Address
		if !expired && idleTime > r.MaxIdleTime {
			return nil
		}
		if !expired && (cn.hasRequestID(r.ID) || !c.suits(cn, t, r)) {
			continue
		}
		conns = slices.Delete(conns, i, i+1)
		c.idle[t.ID] = conns
		if !expired {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// popIdleWhere removes and returns the most recently used connection to the address of a server that has not been idle
// for too long and for which suits returns true, nil if there is none.
func (c *Carrier) popIdleWhere(t Target, suits func(*conn) bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	conns := c.idle[t.ID]
	for i := len(conns) - 1; i >= 0; i-- {
		cn := conns[i]
		if now-cn.idleSince <= c.idleTimeout(cn) && c.cfg.Dialer.Usable(cn.via) && cn.address == t.Address && suits(cn) {
			c.idle[t.ID] = slices.Delete(conns, i, i+1)
			return cn
		}
	}
	return nil
}

// idleTimeout returns how long a connection may be idle.
func (c *Carrier) idleTimeout(cn *conn) clocker.Millis {
	if cn.serverIdleTimeout > 0 {
		return max(0, cn.serverIdleTimeout-idleMargin)
	}
	return c.cfg.IdleTimeout
}

// putIdle keeps a connection for reuse, or closes it if a limit is reached.
func (c *Carrier) putIdle(t Target, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.idleSince = c.cfg.Clock.Now()
	cn.address = t.Address
	if len(c.idle[t.ID]) >= maxIdleConnsPerServer || len(cn.requestIDHashes) >= maxRequestsPerConn {
		_ = cn.Close()
		return
	}
	c.idle[t.ID] = append(c.idle[t.ID], cn)
}

// closeIdle closes the idle connections to a server.
func (c *Carrier) closeIdle(t Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[t.ID] {
		_ = cn.Close()
	}
	delete(c.idle, t.ID)
}

// PruneIdle closes the idle connections to servers for which isKnown returns false, and
// those that have been idle for too long or whose path is no longer used.
func (c *Carrier) PruneIdle(isKnown func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	for id, conns := range c.idle {
		var kept []*conn
		for _, cn := range conns {
			if isKnown(id) && now-cn.idleSince <= c.idleTimeout(cn) && c.cfg.Dialer.Usable(cn.via) {
				kept = append(kept, cn)
				continue
			}
			_ = cn.Close()
		}
		if len(kept) == 0 {
			delete(c.idle, id)
			continue
		}
		c.idle[id] = kept
	}
}
