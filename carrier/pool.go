package carrier

import (
	"context"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

const (
	// maxIdleConns bounds unused connections to one server.
	maxIdleConns = 32
	// maxExchanges bounds the requests on one connection, since their IDs are kept
	// with it.
	maxExchanges = 1024
	// idleMargin is how long before the server's own idle timeout a connection is
	// not used any more, in milliseconds.
	idleMargin = clocker.Second
)

var (
	dials       = metrics.NewCounter("cowsliphinge_backend_connections_total")
	dialsFailed = metrics.NewCounter("cowsliphinge_backend_connections_failed_total")
)

// take returns an unused connection, or a new one.
func (c *Carrier) take(ctx context.Context, t Target, r Request) (*conn, error) {
	for {
		cn := c.pop(t, r)
		if cn == nil {
			break
		}
		if cn.quiet() {
			return cn, nil
		}
		_ = cn.Close()
	}
	dials.Inc()
	cn, err := dial(ctx, t.Address, c.cfg.DialTimeout, c.cfg.Traffic)
	if err != nil {
		dialsFailed.Inc()
		return nil, err
	}
	return cn, nil
}

// pop takes the connection used last that is fresh enough and did not carry a
// request of the same ID: a second answer to that one could not be told from the
// answer to this one.
func (c *Carrier) pop(t Target, r Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	conns := c.idle[t.ID]
	for i := len(conns) - 1; i >= 0; i-- {
		cn := conns[i]
		unused := now - cn.usedAt
		expired := unused > c.keep(cn)
		if !expired && unused > r.MaxIdleTime {
			return nil
		}
		if !expired && cn.carried(r.ID) {
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

// keep returns how long a connection may be unused.
func (c *Carrier) keep(cn *conn) clocker.Millis {
	if cn.idleFor > 0 {
		return max(0, cn.idleFor-idleMargin)
	}
	return c.cfg.IdleTimeout
}

// put keeps a connection for the next request.
func (c *Carrier) put(t Target, cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cn.usedAt = c.cfg.Clock.Now()
	if len(c.idle[t.ID]) >= maxIdleConns || len(cn.ids) >= maxExchanges {
		_ = cn.Close()
		return
	}
	c.idle[t.ID] = append(c.idle[t.ID], cn)
}

// drop closes the unused connections to a server.
func (c *Carrier) drop(t Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[t.ID] {
		_ = cn.Close()
	}
	delete(c.idle, t.ID)
}

// Keep closes the connections to all servers but those for which known is true,
// and those that were unused for too long.
func (c *Carrier) PruneIdle(known func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	for id, conns := range c.idle {
		var kept []*conn
		for _, cn := range conns {
			if known(id) && now-cn.usedAt <= c.keep(cn) {
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
