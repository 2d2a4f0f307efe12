package carrier

import (
	"context"
	"errors"
	"io"
	"syscall"

	"cowsliphinge/clocker"
	"cowsliphinge/concluder"
)

const (
	// slowInquiry is how long an inquiry goes on before the next one begins beside it, in milliseconds.
	slowInquiry = 250 * clocker.Millis(1)
	// maxUnclear is how long a server is asked again that breaks new connections or answers with an error status, and
	// unclearPause the pause before, in milliseconds.
	maxUnclear   = clocker.Second
	unclearPause = 100 * clocker.Millis(1)
)

// inquiry is one question to a server whether it still runs, for all responses that have ended before.
type inquiry struct {
	// since is when the first of them ended.
	since clocker.Millis
	// done is closed once the others are set.
	done chan struct{}
	told incarnation
	// anew is true if the server answered on a new connection.
	anew bool
	err  error
}

// ask asks the server for a response that has ended, together with others. The error tells why it got no answer before ctx
// ended.
func (w *witness) ask(ctx context.Context) (*inquiry, error) {
	w.mu.Lock()
	w.ended++
	q := w.next
	if q == nil {
		q = &inquiry{since: w.carrier.cfg.Clock.Now(), done: make(chan struct{})}
		w.next = q
		go w.run(q)
	}
	w.notify()
	w.mu.Unlock()
	select {
	case <-q.done:
		return q, q.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run asks once that is due.
func (w *witness) run(q *inquiry) {
	defer close(q.done)
	<-w.opened
	for wait, changed := w.begin(q); wait > 0; wait, changed = w.begin(q) {
		ctx, cancel := w.carrier.cfg.Clock.WithTimeout(w.unused, wait)
		select {
		case <-changed:
		case <-ctx.Done():
		}
		cancel()
	}
	q.told, q.anew, q.err = w.inquire()
	w.endAsking()
}

// begin begins an inquiry and returns 0, or returns how long to wait for it in milliseconds unless changed is closed.
func (w *witness) begin(q *inquiry) (wait clocker.Millis, changed <-chan struct{}) {
	leaving := w.leaving()
	now := w.carrier.cfg.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	supply := concluder.Supply{Connections: len(w.conns), SingleUse: leaving && !w.keeps, Unended: w.users - w.ended}
	due := q.since + supply.Delay()
	if w.asking > 0 {
		due = max(due, w.askedAt+slowInquiry)
	}
	if now < due && w.unused.Err() == nil {
		return due - now, w.changed
	}
	w.next = nil // who ends from now on needs another one
	w.asking++
	w.askedAt = now
	return 0, nil
}

// inquire asks on the open connections, on idle ones and on a new one, one after the other, until the server answers.
func (w *witness) inquire() (told incarnation, anew bool, err error) {
	ctx, cancel := w.carrier.cfg.Clock.WithTimeout(w.unused, confirmTimeout)
	defer cancel()
	cause := errNoOpenConn
	for {
		cn := w.takeWhere(func(*conn) bool { return true })
		if cn == nil {
			cn = w.popIdle()
		}
		if cn == nil {
			break
		}
		told, reusable, ok := w.carrier.askOn(ctx, cn, w.target)
		w.giveBack(cn, reusable, ok)
		if ok && (told.asked || !w.identifies()) {
			asksAnswered.Inc()
			return told, false, nil
		}
		asksFailed.Inc()
		cause = errAsksFailed
	}
	if errors.Is(cause, errNoOpenConn) {
		asksNoConn.Inc()
	}
	told, dialErr := w.askAnew(ctx)
	if dialErr != nil {
		return incarnation{}, true, errors.Join(cause, dialErr)
	}
	return told, true, nil
}

func (w *witness) identifies() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tells
}

// askAnew asks on a new connection. A server that breaks it, or answers with an error status, may be busy.
func (w *witness) askAnew(ctx context.Context) (incarnation, error) {
	clock := w.carrier.cfg.Clock
	for began := clock.Now(); ; {
		cn, err := w.carrier.dialServer(ctx, w.target, confirmTimeout)
		if err == nil {
			told := cn.incarnation
			w.keep(cn)
			return told, nil
		}
		w.recordRefusal(err)
		var status errIdentityStatus
		if errors.As(err, &status) && !w.identifies() {
			return incarnation{}, nil // it answers, as a plain service without a free slot does
		}
		if !isUnclear(err) || clock.Now()-began >= maxUnclear || clock.Sleep(ctx, unclearPause) != nil {
			return incarnation{}, err
		}
	}
}

// isUnclear reports whether an error of a new connection can be that of a server which runs: nothing accepts connections
// for a dead process, or sends a status.
func isUnclear(err error) bool {
	var status errIdentityStatus
	return errors.As(err, &status) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// askOn asks a server on an open connection for its incarnation. ok is false if it does not answer. An error status, or an
// answer that can't be decoded, tells what the server told on the connection before: it belongs to one incarnation until it
// ends.
func (c *Carrier) askOn(ctx context.Context, cn *conn, t Target) (told incarnation, reusable, ok bool) {
	if !cn.isReusable() { // what it holds is no answer to this call
		return incarnation{}, false, false
	}
	before := cn.incarnation
	cn.incarnation = incarnation{}
	open, err := c.identify(ctx, cn, t, confirmTimeout)
	var status errIdentityStatus
	if err != nil && !errors.As(err, &status) {
		return incarnation{}, false, false
	}
	if !cn.incarnation.asked && !before.toldBefore {
		cn.incarnation = before
	}
	cn.idleSince = c.cfg.Clock.Now()
	return cn.incarnation, open && cn.incarnation.asked, true
}

// beginAsking counts an inquiry, or a refresh, that begins now.
func (w *witness) beginAsking(now clocker.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asking++
	w.askedAt = now
}

func (w *witness) endAsking() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asking--
	w.notify()
}
