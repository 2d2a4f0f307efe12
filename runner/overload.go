package runner

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

const (
	// lagPause is the sleep whose lateness is measured, in milliseconds.
	lagPause = 25 * clocker.Millis(1)
	// lagWeight is the share of the newest measurement in the mean lag: the mean
	// follows within a second.
	lagWeight = 0.05
	// highLag and lowLag are the mean lags at which a host begins and ceases to turn
	// new connections away, in milliseconds: an eighth and a fiftieth of the target
	// latency of a model request, 500 ms.
	highLag = 60
	lowLag  = 10
	// overloadFor is the least time that a host turns new connections away, in
	// milliseconds: the balancer takes two of its looks, a second apart, to notice.
	overloadFor = 3 * clocker.Second
	// othersShare is the most that the other hosts of the zone may carry on average,
	// as a share of the own requests in flight, for a move to help.
	othersShare = 0.5
)

var overloads = metrics.NewCounter("cowsliphinge_overloads_total")

// overload tells whether this host has less processor time than its callers ask for,
// by how late its timers fire.
type overload struct {
	lag   float64
	high  bool
	since clocker.Millis
}

// note takes in a lateness and whether others could carry more. It reports whether
// new connections are to go elsewhere.
func (o *overload) note(late clocker.Millis, othersCan bool, now clocker.Millis) bool {
	o.lag += lagWeight * (float64(max(late, 0)) - o.lag)
	switch {
	case !o.high && o.lag > highLag && othersCan:
		o.high, o.since = true, now
	case o.high && now-o.since >= overloadFor && (o.lag < lowLag || !othersCan):
		o.high = false
	}
	return o.high
}

// othersCan reports whether the hosts of the own availability zone carry much less
// than this one.
func othersCan(own int64, zone []heartbeater.Peer) bool {
	if len(zone) == 0 {
		return false
	}
	var sum int64
	for _, p := range zone {
		sum += p.InFlight
	}
	return float64(sum) < othersShare*float64(own)*float64(len(zone))
}

// watchLoad turns new connections away while this host is overloaded.
func (r *Runner) watchLoad(ctx context.Context) {
	var o overload
	for {
		before := r.cfg.Clock.Now()
		if r.cfg.Clock.Sleep(ctx, lagPause) != nil {
			return
		}
		now := r.cfg.Clock.Now()
		can := o.lag > lowLag && othersCan(r.relayer.Load().InFlight(), r.zonePeers())
		high := o.note(now-before-lagPause, can, now)
		if high == r.overloaded.Swap(high) {
			continue
		}
		if high {
			overloads.Inc()
		}
		r.cfg.Log.Info("load changed", "overloaded", high, "lag_ms", int64(o.lag), "in_flight", r.relayer.Load().InFlight())
	}
}

// zonePeers returns the hosts of the own availability zone that are heard.
func (r *Runner) zonePeers() []heartbeater.Peer {
	var zone []heartbeater.Peer
	for _, p := range r.livePeers() {
		if p.AvailabilityZone == r.cfg.Settings.AvailabilityZone && !p.Draining {
			zone = append(zone, p)
		}
	}
	return zone
}
