package carrier

import (
	"context"
	"errors"
	"sync"
	"syscall"

	"cowsliphinge/clocker"
	"cowsliphinge/concluder"
)

const (
	// witnessInterval is the time between two looks at the connections of a witness, in milliseconds.
	witnessInterval = 250 * clocker.Millis(1)
	// unboundedTime is what a response without a time limit may still take, in milliseconds.
	unboundedTime = clocker.Hour
)

// witness is what shows that a server still runs after the end of a response without a length: open connections on
// which the server can be asked. The kernel closes all connections of a process that dies. Unlike a new connection, an
// open one also works once the server has closed its listener.
//
// One answer of the server tells of all responses that had ended when it was asked. A server that leaves may close each
// connection behind its answer; package concluder decides how many are kept then, and when it is asked.
type witness struct {
	carrier *Carrier
	target  Target
	// unused is canceled once no response needs the witness, and released closed when the connections are given back.
	unused   context.Context
	cancel   context.CancelFunc
	released chan struct{}
	// opened is closed once the first connection is open, or could not be opened.
	opened chan struct{}
	// used has a value if a connection may have to be replaced.
	used chan struct{}

	// mu is locked after Carrier.mu where both are.
	mu    sync.Mutex
	conns []*conn
	// users counts the responses that need the witness, and ended those of them that have ended. until is when the last
	// one ends at the latest.
	users, ended int
	until        clocker.Millis
	// tells is true if the server has told its incarnation on the connection of a response.
	tells bool
	// keeps is true if the server leaves and has not closed the connection behind its last answer all the same.
	keeps bool
	// closed is true once nothing accepts connections, or another incarnation does.
	closed bool
	// asking counts the inquiries and refreshes in progress, the last of which began at askedAt.
	asking  int
	askedAt clocker.Millis
	// next is the inquiry that has not begun, nil if none is needed. changed is closed once it may be due earlier.
	next    *inquiry
	changed chan struct{}
	// done is true once the connections were given back.
	done bool
}

// attachWitness returns the witness for the incarnation that sends a response, which it opens if there is none. The caller
// has to call detach.
func (c *Carrier) attachWitness(r *Response) *witness {
	t := incarnationOf(r)
	until := r.deadline
	if until == 0 {
		until = c.cfg.Clock.Now() + unboundedTime
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.witnesses[t]
	if w == nil {
		w = c.newWitness(t)
		c.witnesses[t] = w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.users++
	w.until = max(w.until, until)
	w.tells = w.tells || r.StartedAt() > 0
	return w
}

// detach ends the use by one response, for which the server may have been asked.
func (w *witness) detach(asked bool) {
	c := w.carrier
	c.mu.Lock()
	defer c.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.users--
	if asked {
		w.ended--
	}
	w.notify()
	if w.users == 0 {
		delete(c.witnesses, w.target)
		w.cancel()
	}
}

// newWitness returns a witness that keeps connections open until it has no users.
func (c *Carrier) newWitness(t Target) *witness {
	w := &witness{
		carrier: c, target: t,
		released: make(chan struct{}), opened: make(chan struct{}), used: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	w.unused, w.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(w.released)
		w.openFirst()
		close(w.opened)
		for w.pause() {
			w.refresh()
			w.refill()
		}
		w.release()
	}()
	return w
}

// pause waits for witnessInterval, or until a connection was used. It returns false once the witness has no users.
func (w *witness) pause() bool {
	ctx, cancel := w.carrier.cfg.Clock.WithTimeout(w.unused, witnessInterval)
	defer cancel()
	select {
	case <-ctx.Done():
	case <-w.used:
	}
	return w.unused.Err() == nil
}

// openFirst takes an idle connection to the incarnation, or opens one.
func (w *witness) openFirst() {
	t := w.target
	if t.StartedAt > 0 {
		if cn := w.popIdle(); cn != nil {
			w.keep(cn)
			return
		}
	}
	cn, err := w.carrier.dialServer(w.unused, t, confirmTimeout)
	if err != nil {
		w.recordRefusal(err)
		return
	}
	if startedAt := cn.incarnation.startedAt; startedAt > 0 && startedAt != t.StartedAt {
		w.setClosed()
		w.carrier.putIdle(t, cn)
		return
	}
	w.keep(cn)
}

// popIdle returns an idle connection on which the server told that it is the incarnation, nil if there is none.
func (w *witness) popIdle() *conn {
	startedAt := w.target.StartedAt
	return w.carrier.popIdleWhere(w.target, func(cn *conn) bool { return startedAt > 0 && cn.tells(startedAt) && cn.isReusable() })
}

// refill opens the connections that are missing.
func (w *witness) refill() {
	for n := w.missing(); n > 0; n-- {
		cn, err := w.carrier.dial(w.unused, w.target.Address, w.carrier.cfg.DialTimeout)
		if err != nil {
			w.recordRefusal(err)
			return // until the next look
		}
		cn.address = w.target.Address // the server tells its incarnation when it is asked
		w.keep(cn)
	}
}

// missing closes connections that the server has closed, and returns how many to open.
func (w *witness) missing() int {
	leaving := w.leaving()
	now := w.carrier.cfg.Clock.Now()
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
	switch {
	case w.closed:
		return 0
	case leaving:
		return concluder.Wanted(w.users-w.ended, w.until-now) - len(open)
	}
	return 1 - len(open) - w.asking
}

// refresh asks on connections that the server would close as idle before long. On one that leaves an ask may cost the
// connection.
func (w *witness) refresh() {
	if w.leaving() {
		return
	}
	now := w.carrier.cfg.Clock.Now()
	ctx, cancel := w.carrier.cfg.Clock.WithTimeout(w.unused, confirmTimeout)
	defer cancel()
	w.beginAsking(now)
	defer w.endAsking()
	for {
		cn := w.takeWhere(func(cn *conn) bool {
			return cn.serverIdleTimeout > 0 && now-cn.idleSince >= cn.serverIdleTimeout/2
		})
		if cn == nil {
			return
		}
		_, reusable, ok := w.carrier.askOn(ctx, cn, w.target)
		w.giveBack(cn, reusable, ok)
	}
}

func (w *witness) leaving() bool {
	leaving := w.carrier.cfg.Leaving
	return leaving != nil && leaving(w.target.ID)
}

// keep adds an open connection.
func (w *witness) keep(cn *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		_ = cn.Close()
		return
	}
	if cn.idleSince == 0 {
		cn.idleSince = w.carrier.cfg.Clock.Now()
	}
	w.conns = append(w.conns, cn)
	w.notify()
}

// takeWhere removes and returns an open connection for which suits returns true, nil if there is none.
func (w *witness) takeWhere(suits func(*conn) bool) *conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := 0; i < len(w.conns); {
		cn := w.conns[i]
		if !suits(cn) {
			i++
			continue
		}
		w.conns = append(w.conns[:i:i], w.conns[i+1:]...)
		if cn.isReusable() {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// giveBack keeps a connection on which the server was asked if it can be used again.
func (w *witness) giveBack(cn *conn, reusable, answered bool) {
	leaving := w.leaving()
	w.mu.Lock()
	if answered {
		w.keeps = reusable && leaving
	}
	w.mu.Unlock()
	if reusable {
		w.keep(cn)
		return
	}
	_ = cn.Close()
	select {
	case w.used <- struct{}{}:
	default: // a look is due already
	}
}

// recordRefusal records an error of a new connection that shows that there will be none any more.
func (w *witness) recordRefusal(err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		w.setClosed()
	}
}

func (w *witness) setClosed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

// release makes the connections available for requests on which the server told its incarnation.
func (w *witness) release() {
	w.mu.Lock()
	conns := w.conns
	w.conns, w.done = nil, true
	w.mu.Unlock()
	for _, cn := range conns {
		if cn.incarnation.asked && !cn.incarnation.toldBefore {
			w.carrier.putIdle(w.target, cn)
			continue
		}
		_ = cn.Close()
	}
}

// notify makes the next ask look again when it is due. The caller holds mu.
func (w *witness) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}
