package relayer

import (
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
)

// maxOverlap is how long a silent server may keep the request after another one has got it, in
// milliseconds. Servers refuse within a round trip; one that has not refused by then runs the request, and
// two servers must not run it for longer.
const maxOverlap = 300 * clocker.Millis(1)

var (
	silencesOver  = metrics.NewCounter(`cowsliphinge_relay_silences_total{end="went_on"}`)
	silencesMoved = metrics.NewCounter(`cowsliphinge_relay_silences_total{end="moved"}`)
	silencesKept  = metrics.NewCounter(`cowsliphinge_relay_silences_total{end="no_other_server"}`)
)

// wentOn is the outcome in the log of an attempt that was dropped because the silent server went on.
const wentOn = "other_server_went_on"

// besideAttempt is the part of an attempt that runs beside a silent one.
type besideAttempt struct {
	cancel context.CancelFunc
	// sent is closed once the request is written, and done once Send has returned.
	sent, done chan struct{}
	// adopted is closed once the attempt is the current one. canceled ends the wait for it.
	adopted  chan struct{}
	canceled <-chan struct{}
}

// onSilence is called when the server of an attempt has sent nothing for its time limit. Silence
// alone doesn't show that the server has failed: the attempt stays open until another server has taken the
// request. It returns how much longer to wait for the server, in milliseconds, or 0 once another one has taken
// over or the time is over.
func (x *relayedRequest) onSilence(a *attempt, hasBytes func() bool) clocker.Millis {
	if !a.awaitAdoption() || x.ctx.Err() != nil || x.remaining() <= 0 {
		return 0
	}
	x.countSent(a)
	x.countPossibleRun(a)
	cause := outcomeUnknown
	for !hasBytes() {
		if _, ok := x.mayRetry(cause); !ok {
			silencesKept.Inc()
			break
		}
		next, _, ok := x.newAttempt()
		if !ok {
			silencesKept.Inc()
			break
		}
		x.sendBeside(next)
		var failed bool
		if cause, failed = x.checkBeside(next); failed {
			next.close()
			continue
		}
		if hasBytes() {
			x.drop(next)
			break
		}
		silencesMoved.Inc()
		a.log.SilentMs = x.cfg.Clock.Now() - max(a.sentAt, a.lastByte)
		x.next = next
		return 0
	}
	if x.ctx.Err() != nil || x.remaining() <= 0 {
		return 0
	}
	return x.eventTimeout()
}

// sendBeside sends the request to a further server and waits until that has answered, or has not
// refused the request for maxOverlap.
func (x *relayedRequest) sendBeside(a *attempt) {
	ctx, cancel := context.WithCancel(x.ctx)
	b := &besideAttempt{cancel: cancel, sent: make(chan struct{}), done: make(chan struct{}), adopted: make(chan struct{}), canceled: ctx.Done()}
	a.beside = b
	request := x.requestOf(a)
	request.OnSent = func() { close(b.sent) }
	go func() {
		defer close(b.done)
		a.response, a.err = x.cfg.Carrier.Send(ctx, x.targetOf(a), request)
	}()
	select {
	case <-b.sent:
	case <-b.done:
		return
	}
	overlap, cancelOverlap := x.cfg.Clock.WithTimeout(x.ctx, x.overlap)
	defer cancelOverlap()
	select {
	case <-b.done:
	case <-overlap.Done():
	}
}

// checkBeside reports whether an attempt that was begun beside a silent one can't replace it, and why. It can
// while its server has not answered.
func (x *relayedRequest) checkBeside(a *attempt) (failure, bool) {
	select {
	case <-a.beside.done:
	default:
		return failure{}, false
	}
	if f, failed := x.checkHeader(a); failed {
		return f, true
	}
	status := a.response.StatusCode
	switch {
	case status >= http.StatusInternalServerError:
		return x.finishAttempt(a, chooser.ServerError, serverFailed), true
	case statusImpliesNotRun(status):
		return x.finishAttempt(a, chooser.NoFailure, outcomeUnknown), true
	case x.reply.started && status != http.StatusOK:
		return x.finishAttempt(a, chooser.NoFailure, streamNotContinued), true
	}
	return failure{}, false
}

// drop ends an attempt because the silent server has gone on.
func (x *relayedRequest) drop(a *attempt) {
	silencesOver.Inc()
	a.beside.cancel()
	<-a.beside.done
	if !connector.IsErrNotSent(a.err) {
		x.countSent(a)
		x.countPossibleRun(a)
	}
	x.finish(a, chooser.NoFailure)
	a.log.setOutcome(wentOn)
	a.close()
}

// adoptNext makes the attempt that takes over the current one, and waits for its response. It returns
// nil if there is none.
func (x *relayedRequest) adoptNext() *attempt {
	a := x.next
	if a == nil {
		return nil
	}
	x.next = nil
	close(a.beside.adopted)
	<-a.beside.done
	return a
}

// awaitAdoption waits until the attempt is the current one: until then another goroutine owns the request.
// It returns false if the attempt is canceled before.
func (a *attempt) awaitAdoption() bool {
	if a.beside == nil {
		return true
	}
	select {
	case <-a.beside.adopted:
		return true
	case <-a.beside.canceled:
		return false
	}
}
