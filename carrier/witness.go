package carrier

import (
	"context"
	"errors"
	"sync"

	"cowsliphinge/clocker"
)

const (
	// witnessInterval is the time between two looks at the connections of a witness, in milliseconds.
	witnessInterval = 250 * clocker.Millis(1)
	// maxWitnessConns limits the connections of a witness.
	maxWitnessConns = 32
)

// witness is what shows that a server still runs after the end of a response without a length: an open connection on
// which the server can be asked. The kernel closes all connections of a process that dies. Unlike a new connection, an
// open one also works once the server has closed its listener.
//
// A server that leaves may close each connection behind its answer, so that there is one for each response then.
type witness struct {
	carrier *Carrier
	target  Target
	// users counts the responses that need the witness. Carrier.mu guards it.
	users int
	// unused is canceled once there are none, and released closed when the connections are given back.
	unused   context.Context
	cancel   context.CancelFunc
	released chan struct{}

	mu    sync.Mutex
	conns []*conn
}

// attachWitness returns the witness for an incarnation, which it opens if there is none. The caller has to call detach.
func (c *Carrier) attachWitness(t Target) *witness {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.witnesses[t]
	if w == nil {
		w = c.newWitness(t)
		c.witnesses[t] = w
	}
	w.users++
	return w
}

// detach ends the use by one response.
func (w *witness) detach() {
	c := w.carrier
	c.mu.Lock()
	defer c.mu.Unlock()
	w.users--
	if w.users == 0 {
		delete(c.witnesses, w.target)
		w.cancel()
	}
}

// newWitness returns a witness that keeps connections open until it has no users.
func (c *Carrier) newWitness(t Target) *witness {
	w := &witness{carrier: c, target: t, released: make(chan struct{})}
	w.unused, w.cancel = context.WithCancel(context.Background())
	w.mu.Lock() // calls wait until the first connection is open
	go func() {
		defer close(w.released)
		cn := w.openFirst()
		if cn != nil {
			w.conns = append(w.conns, cn)
		}
		w.mu.Unlock()
		for cn != nil && c.cfg.Clock.Sleep(w.unused, witnessInterval) == nil {
			for n := w.missing(); n > 0 && cn != nil; n-- {
				cn = w.openNext()
			}
		}
		<-w.unused.Done()
		w.release()
	}()
	return w
}

// openFirst takes an idle connection to the incarnation, or opens one. It returns nil if that fails, or another
// incarnation listens.
func (w *witness) openFirst() *conn {
	t := w.target
	if t.StartedAt > 0 {
		cn := w.carrier.popIdleWhere(t, func(cn *conn) bool { return cn.tells(t.StartedAt) && cn.isReusable() })
		if cn != nil {
			return cn
		}
	}
	cn, err := w.carrier.dialServer(w.unused, t, confirmTimeout)
	if err != nil {
		return nil
	}
	if startedAt := cn.incarnation.startedAt; startedAt > 0 && startedAt != t.StartedAt {
		w.carrier.putIdle(t, cn)
		return nil
	}
	return cn
}

// missing closes connections that the server has closed, and returns how many to open.
func (w *witness) missing() int {
	c := w.carrier
	c.mu.Lock()
	wanted := 1
	if c.cfg.Leaving != nil && c.cfg.Leaving(w.target.ID) {
		wanted = min(w.users, maxWitnessConns)
	}
	c.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	var open []*conn
	for _, cn := range w.conns {
		if cn.isReusable() {
			open = append(open, cn)
			continue
		}
		_ = cn.Close()
	}
	w.conns = open
	return wanted - len(open)
}

// openNext opens another connection, nil if that fails. The server tells its incarnation when it is asked.
func (w *witness) openNext() *conn {
	cn, err := w.carrier.dial(w.unused, w.target.Address, w.carrier.cfg.DialTimeout)
	if err != nil {
		return nil
	}
	cn.address = w.target.Address
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, cn)
	return cn
}

// release makes the connections available for requests on which the server told its incarnation.
func (w *witness) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cn := range w.conns {
		if cn.incarnation.asked && !cn.incarnation.toldBefore {
			w.carrier.putIdle(w.target, cn)
			continue
		}
		_ = cn.Close()
	}
	w.conns = nil
}

// ask asks the server on a connection that is still open, and returns an error if it does not answer.
func (w *witness) ask() (told incarnation, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.conns) == 0 {
		asksNoConn.Inc()
		return incarnation{}, errNoOpenConn
	}
	for len(w.conns) > 0 {
		cn := w.conns[0]
		w.conns = w.conns[1:]
		told, reusable, ok := w.carrier.askOn(w.unused, cn, w.target)
		if reusable {
			w.conns = append(w.conns, cn)
		} else {
			_ = cn.Close()
		}
		if ok {
			asksAnswered.Inc()
			return told, nil
		}
		asksFailed.Inc()
	}
	return incarnation{}, errAsksFailed
}

// askOn asks a server on an open connection for its incarnation. ok is false if it does not answer. An error status
// is an answer, which tells no incarnation.
func (c *Carrier) askOn(ctx context.Context, cn *conn, t Target) (told incarnation, reusable, ok bool) {
	if !cn.isReusable() { // what it holds is no answer to this call
		return incarnation{}, false, false
	}
	cn.incarnation = incarnation{}
	reusable, err := c.identify(ctx, cn, t, confirmTimeout)
	var status errIdentityStatus
	return cn.incarnation, err == nil && reusable, err == nil || errors.As(err, &status)
}
