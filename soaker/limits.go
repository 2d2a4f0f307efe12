package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"cowsliphinge/clocker"
)

const (
	// limitPause is the mean time between two limits, and limitFor how long a server names
	// one, in milliseconds.
	limitPause = 1000
	limitFor   = 8 * clocker.Second
	// limitWindow is the time over which a limit holds, limitGrace how long after it was
	// first named, and limitNotice how long after a router has passed it on, in milliseconds.
	limitWindow = 4 * clocker.Second
	limitGrace  = 3 * clocker.Second
	limitNotice = 500 * clocker.Millis(1)
	// limitAllowance times what a limit allows in a window, plus limitSlack, is the bound.
	limitAllowance = 1.5
	limitSlack     = 5
)

// limits are the requests a second that servers name.
var limits = []float64{0, 0.5, 2, 5}

// limit is a limit that a server named.
type limit struct {
	server    string
	perSecond float64
	named     span
}

// allowed returns the most requests within a window.
func (l limit) allowed() int {
	return int(limitAllowance*l.perSecond*float64(limitWindow/clocker.Second)) + limitSlack
}

// limitServer lets a server name a limit for a while.
func limitServer(w *world, rng *rand.Rand) string {
	w.mu.Lock()
	b := w.servers[rng.IntN(len(w.servers))]
	w.mu.Unlock()
	l := limit{server: b.id, perSecond: limits[rng.IntN(len(limits))], named: span{from: w.cfg.Clock.Now()}}
	if !b.server.BeginLimit(l.perSecond) {
		return "no second limit of server " + b.id
	}
	w.cfg.Clock.SleepUncancellable(limitFor)
	l.named.to = w.cfg.Clock.Now()
	b.server.EndLimit()
	w.record.limit(l)
	return fmt.Sprintf("server %s named a limit of %v a second", b.id, l.perSecond)
}

// limitServersUntil lets servers name limits, which may overlap, until ctx ends.
func (w *world) limitServersUntil(ctx context.Context, rng *rand.Rand) []string {
	return w.series(ctx, rng, []fault{limitServer}, limitPause, func(_, _ clocker.Millis) {})
}

func (r *recorder) limit(l limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, l)
}

// checkLimits: routers that have passed a limit on keep it together.
func (r *recorder) checkLimits() []string {
	var found []string
	for _, l := range r.limits {
		times := r.informedRuns(l)
		first := 0
		for last, at := range times {
			for times[first] <= at-limitWindow {
				first++
			}
			if n := last - first + 1; n > l.allowed() && at-limitWindow >= l.named.from+limitGrace {
				found = append(found, fmt.Sprintf("server %s named a limit of %v a second and got %d requests in 4 s, %d are allowed", l.server, l.perSecond, n, l.allowed()))
				break
			}
		}
	}
	return found
}

// informedRuns returns the times of the runs at the server, in order, that came from lives of
// routers that had passed on its limit limitNotice before.
func (r *recorder) informedRuns(l limit) []clocker.Millis {
	informed := map[[2]int]clocker.Millis{}
	for _, q := range r.requests {
		life := [2]int{q.router, q.incarnation}
		at, known := informed[life]
		if q.limitedBy == l.server && q.endedAt >= l.named.from && (!known || q.endedAt < at) {
			informed[life] = q.endedAt
		}
	}
	var times []clocker.Millis
	for _, q := range r.requests {
		at, known := informed[[2]int{q.router, q.incarnation}]
		for _, one := range r.runs[q.id] {
			if known && one.server == l.server && one.At >= at+limitNotice && one.At <= l.named.to {
				times = append(times, one.At)
			}
		}
	}
	slices.Sort(times)
	return times
}
