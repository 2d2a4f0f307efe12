package relayer

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/concluder"
	"cowsliphinge/connector"
)

const (
	// maxOverlap is how long a silent server may keep the request after another one has got it, in
	// milliseconds. Two servers must not run it for longer.
	maxOverlap = 300 * clocker.Millis(1)
	// overlapLook is the time between two looks for bytes of the silent server meanwhile, in milliseconds.
	overlapLook = 20 * clocker.Millis(1)
)

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
	// sent is closed once the request is written, and done once the response has failed, or its stream was read early.
	sent, done chan struct{}
	// adopted is closed once the attempt is the current one. canceled ends the wait for it.
	adopted  chan struct{}
	canceled <-chan struct{}
}

// onSilence is called when the server of an attempt has sent nothing for its time limit. Silence
// alone doesn't show that the server has failed: the attempt stays open until another server has shown more, or must not
// have the request beside it any longer. It returns how much longer to wait for the server, in milliseconds, or 0 once another
// one has taken over or the time is over.
func (x *relayedRequest) onSilence(a *attempt, hasBytes func() bool) clocker.Millis {
	if !a.awaitAdoption() || x.ctx.Err() != nil || x.remaining() <= 0 {
		return 0
	}
	x.countSent(a)
	x.countPossibleRun(a)
	cause := outcomeUnknown
	goesOn := func() bool { return !a.inEvent && hasBytes() } // bytes of an event that it does not complete are no progress
	for step := concluder.TryNext; step == concluder.TryNext && !goesOn(); {
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
		step, cause = x.awaitEither(next, goesOn)
		switch step {
		case concluder.TakeOver:
			silencesMoved.Inc()
			a.log.SilentMs = x.cfg.Clock.Now() - max(a.sentAt, a.lastByte)
			x.next = next
			return 0
		case concluder.KeepFirst:
			x.drop(next)
		}
	}
	if x.ctx.Err() != nil || x.remaining() <= 0 {
		return 0
	}
	return x.eventTimeout()
}

// sendBeside sends the request to a further server, and reads a stream of that early.
func (x *relayedRequest) sendBeside(a *attempt) {
	ctx, cancel := context.WithCancel(x.ctx)
	b := &besideAttempt{cancel: cancel, sent: make(chan struct{}), done: make(chan struct{}), adopted: make(chan struct{}), canceled: ctx.Done()}
	a.beside = b
	request := x.requestOf(a)
	request.OnSent = func() { close(b.sent) }
	target, position := x.targetOf(a), x.position // the goroutine may outlive the silence
	go func() {
		defer close(b.done)
		a.response, a.err = x.cfg.Carrier.Send(ctx, target, request)
		if a.err == nil && x.streams(a.response) {
			a.early = readEarly(a.response, position)
		}
	}()
}

// awaitEither waits until either the silent server goes on or the one of an attempt beside it has shown something, for up to
// x.overlap once that has got the request. The failure is that of the attempt if it failed.
func (x *relayedRequest) awaitEither(a *attempt, firstGoesOn func() bool) (concluder.Step, failure) {
	var overlap <-chan struct{}
	sent := a.beside.sent
	for {
		look, cancel := x.cfg.Clock.WithTimeout(x.ctx, overlapLook)
		var o concluder.Overlap
		var f failure
		select {
		case <-sent:
			sent = nil
			limit, cancelLimit := x.cfg.Clock.WithTimeout(x.ctx, x.overlap)
			defer cancelLimit()
			overlap = limit.Done()
		case <-a.beside.done:
		case <-overlap:
			o.Over = true
		case <-x.ctx.Done():
			o.Over = true
		case <-look.Done():
		}
		cancel()
		o.Second, f = x.shownBeside(a)
		o.FirstHasBytes = firstGoesOn()
		step := o.Next()
		if o.Second == concluder.Failure { // it has ended, whatever the first one does
			a.close()
			step = concluder.TryNext
		}
		if step != concluder.Wait {
			return step, f
		}
	}
}

// shownBeside returns what an attempt that was begun beside a silent one has shown, and its failure.
func (x *relayedRequest) shownBeside(a *attempt) (concluder.Shown, failure) {
	select {
	case <-a.beside.done:
	default:
		return concluder.Nothing, failure{}
	}
	if f, failed := x.checkBeside(a); failed {
		return concluder.Failure, f
	}
	return concluder.Progress, failure{}
}

// checkBeside reports whether an attempt that was begun beside a silent one has failed, and why.
func (x *relayedRequest) checkBeside(a *attempt) (failure, bool) {
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
	case a.early.shown == concluder.Failure:
		a.log.setCause(a.early.err)
		a.log.EndedWhole = errors.Is(a.early.err, io.EOF)
		x.reportCrash(a, a.early.err)
		return x.finishAttempt(a, x.relayErrorOutcome(a.early.err), outcomeUnknown), true
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
