package experimenter

import (
	"errors"
	"fmt"

	"cowsliphinge/clocker"
	"cowsliphinge/picker"
)

// request is one request of a caller and its attempts.
type request struct {
	world   *world
	host    *host
	account int
	at      float64
	prefix  uint64
	suffix  int
	output  int
	avoid   []string

	attempts int
	first    float64
	ended    bool
	// current attempt, if one is under way.
	choice *picker.Choice
	job    *job
}

// arrive makes a request at a host that the platform's balancer still uses.
func (w *world) arrive() {
	r := &request{
		world:   w,
		account: w.account(),
		at:      w.now,
		prefix:  w.zipf.Uint64() + 1,
		suffix:  w.exponential(w.SuffixTokens),
		output:  min(w.MaxOutput, w.exponential(w.OutputTokens)),
	}
	for r.host == nil || r.host.gone {
		r.host = w.hosts[w.random.IntN(len(w.hosts))]
	}
	w.result.arrived(r)
	r.host.retrier.CountFirstAttempt()
	w.after(w.Deadline, r.expire)
	r.try()
}

func (w *world) account() int {
	var sum float64
	for _, d := range w.Demand {
		sum += d
	}
	at := w.random.Float64() * sum
	for i, d := range w.Demand {
		if at -= d; at < 0 {
			return i
		}
	}
	return len(w.Demand) - 1
}

// try asks the host's policy for a backend server.
func (r *request) try() {
	if r.ended {
		return
	}
	asked := picker.Request{
		Service: "draft", Model: "m",
		ClientAccount: fmt.Sprint(r.account),
		Weight:        1,
		Prefix:        r.prefix,
		Tokens:        int64(r.world.PrefixTokens + r.suffix + r.world.MaxOutput),
		Deadline:      epoch + clocker.Millis(r.at+r.world.Deadline),
		Avoid:         r.avoid,
	}
	r.host.decider.submit(r.world.clock.Now(), asked, r.granted)
}

func (r *request) granted(c picker.Choice, err error) {
	if r.ended {
		if err == nil {
			r.host.decider.release(r.world.clock.Now(), c, picker.Abandoned)
		}
		return
	}
	if err != nil {
		var refusal picker.ErrRefused
		errors.As(err, &refusal)
		r.end("refused " + refusal.Reason)
		return
	}
	r.choice = &c
	r.attempts++
	r.world.result.attempted(r)
	r.world.after(r.delay(), func() { r.dispatch(&c) })
}

// delay is the one-way delay to the chosen backend server.
func (r *request) delay() float64 {
	if r.choice.Server.AvailabilityZone == r.host.zone {
		return r.world.NetworkOwn
	}
	return r.world.NetworkOther
}

func (r *request) dispatch(c *picker.Choice) {
	if r.choice != c {
		return
	}
	e := r.world.engines[c.Server.Name]
	if e.down {
		r.world.after(r.world.ConnectTimeout, func() { r.failed(c, picker.Failed) })
		return
	}
	failing := r.world.random.Float64() < r.world.FailingShare
	r.job = &job{prefix: r.prefix, prefill: r.suffix, output: r.output}
	r.job.onFirst = func() { r.firstToken(c, failing) }
	r.job.onDone = func() { r.done(c) }
	if !e.accept(r.job) {
		r.failed(c, picker.Refused)
	}
}

func (r *request) firstToken(c *picker.Choice, failing bool) {
	if r.choice != c {
		return
	}
	if r.world.engines[c.Server.Name].down {
		r.world.after(r.world.ConnectTimeout, func() { r.failed(c, picker.Failed) })
		return
	}
	if failing {
		r.job.gone = true
		r.failed(c, picker.Failed)
		return
	}
	c.FirstByteAt = r.world.clock.Now()
	r.first = r.world.now + r.delay()
	r.world.result.dispatched(r)
}

func (r *request) done(c *picker.Choice) {
	if r.choice != c || r.job.gone {
		return
	}
	if r.world.engines[c.Server.Name].down {
		r.first = 0
		r.world.after(r.world.ConnectTimeout, func() { r.failed(c, picker.Failed) })
		return
	}
	r.release(picker.Succeeded)
	r.end("answered")
}

// failed ends an attempt, and tries again elsewhere if the budget allows it.
func (r *request) failed(c *picker.Choice, o picker.Outcome) {
	if r.choice != c {
		return
	}
	r.release(o)
	if !r.host.retrier.Allow("experiment") {
		r.end("failed")
		return
	}
	r.avoid = append(r.avoid, c.Server.Name)
	r.world.after(float64(r.host.retrier.Backoff(r.attempts)), r.try)
}

func (r *request) release(o picker.Outcome) {
	c := *r.choice
	r.choice = nil
	r.host.decider.release(r.world.clock.Now(), c, o)
}

// expire ends a request at its deadline and cancels what runs.
func (r *request) expire() {
	if r.ended {
		return
	}
	if r.choice != nil {
		if r.job != nil {
			r.job.gone = true
		}
		r.release(picker.Abandoned)
	}
	r.end("late")
}

func (r *request) end(how string) {
	if r.ended {
		return
	}
	r.ended = true
	r.world.result.ended(r, how)
}
