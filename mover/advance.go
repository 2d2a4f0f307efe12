package mover

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// warmAttempts is how often a warm-up is tried before it is left out.
	maxWarmUpAttempts = 3
	// settleMs is how long after the drain began a report of an empty backend
	// server is believed: hosts have the move by then, and load reports lag. The
	// time of a report tells nothing, as an idle server may report an old sample.
	settleMs = 15 * clocker.Second
	// postponeAheadMs is how long before the drain it is postponed at the earliest.
	postponeWindowMs = 60 * clocker.Second
	// readyAheadMs is how long before the drain arrivals have to be ready, so that
	// a postponed drain is in force in time.
	readyMarginMs = 10 * clocker.Second
	// PostponeMs is by how much a drain is postponed.
	PostponeMs = 10 * clocker.Minute
)

// Seen is what the holder sees of the targets of a move.
type Observation struct {
	// Loaded tells for each arriving backend server that it serves its models.
	Loaded map[string]bool
	// Empty tells for each leaving backend server that it reported no request.
	Idle map[string]bool
	// LeavingInFlight is the sum over live hosts of requests on leaving backend servers.
	LeavingInFlight int64
	// Hosts holds the leaving hosts that were heard of.
	Hosts map[string]HostObservation
	// OpenLimits holds for each leaving host the limits that it has not returned;
	// a host that is missing was not looked at.
	UnreturnedLimits map[string]int64
	// Warmed holds the outcome of warm-ups: attempts, and a note once one ended.
	WarmUps map[string]WarmUp
}

// HostSeen is the latest word of a leaving host.
type HostObservation struct {
	// Silent is true if it is not heard any more.
	Suspect  bool
	Draining bool
	InFlight int64
}

// Warmth is how far a warm-up has come.
type WarmUp struct {
	Attempts int
	Done     bool
	Note     string
}

// Settled reports whether reports of leavings are believed at now.
func DrainSettled(move *messenger.Move, now clocker.Millis) bool {
	return now >= clocker.Millis(move.DrainAtMs)+settleMs
}

// Advance returns the progress of the steps after what was seen. Steps that
// are done stay done.
func Advance(move *messenger.Move, steps []*messenger.MoveStep, observed Observation, now clocker.Millis) []*messenger.MoveStep {
	next := make([]*messenger.MoveStep, 0, len(steps))
	for _, s := range steps {
		s = proto.CloneOf(s)
		if s.State != Done {
			done, note := stepDone(move, steps, s, observed, now)
			s.Note = note
			if stepDue(move, steps, s, now) {
				s.State = Running
			}
			if done {
				s.State, s.FinishedAtMs = Done, int64(now)
			}
		}
		next = append(next, s)
	}
	return next
}

// begun tells whether the time of a step has come.
func stepDue(move *messenger.Move, steps []*messenger.MoveStep, s *messenger.MoveStep, now clocker.Millis) bool {
	switch s.Kind {
	case Load:
		return now >= clocker.Millis(move.StartAtMs)
	case Warm:
		return isDone(steps, Load, s.Target)
	default:
		return now >= clocker.Millis(move.DrainAtMs)
	}
}

func stepDone(move *messenger.Move, steps []*messenger.MoveStep, s *messenger.MoveStep, observed Observation, now clocker.Millis) (bool, string) {
	switch s.Kind {
	case Load:
		return observed.Loaded[s.Target], ""
	case Warm:
		w := observed.WarmUps[s.Target]
		return isDone(steps, Load, s.Target) && (w.Done || w.Attempts >= maxWarmUpAttempts), w.Note
	case Drain:
		return drainDone(move, s, observed, now)
	case Return:
		return returnDone(steps, s, observed)
	}
	return false, "unknown kind of step"
}

func drainDone(move *messenger.Move, s *messenger.MoveStep, observed Observation, now clocker.Millis) (bool, string) {
	if !DrainSettled(move, now) {
		return false, ""
	}
	if isLeavingHost(move, s.Target) {
		host, heard := observed.Hosts[s.Target]
		switch {
		case heard && !host.Draining && host.Suspect:
			return false, "the host fell silent before it drained"
		case heard && !host.Draining:
			return false, "the host takes callers"
		case heard && !host.Suspect && host.InFlight > 0:
			return false, fmt.Sprintf("%d requests in flight", host.InFlight)
		}
		return true, ""
	}
	switch {
	case !observed.Idle[s.Target]:
		return false, "requests in flight, or no report"
	case observed.LeavingInFlight > 0:
		return false, fmt.Sprintf("hosts have %d requests on leavings", observed.LeavingInFlight)
	}
	return true, ""
}

func returnDone(steps []*messenger.MoveStep, s *messenger.MoveStep, observed Observation) (bool, string) {
	unreturned, known := observed.UnreturnedLimits[s.Target]
	switch {
	case !isDone(steps, Drain, s.Target):
		return false, ""
	case !known:
		return false, "limits are not known"
	case unreturned > 0:
		return false, fmt.Sprintf("limits of %d tokens are not returned", unreturned)
	}
	return true, ""
}

func isLeavingHost(move *messenger.Move, name string) bool {
	for _, h := range move.LeavingHosts {
		if h == name {
			return true
		}
	}
	return false
}

func isDone(steps []*messenger.MoveStep, kind, target string) bool {
	for _, s := range steps {
		if s.Kind == kind && s.Target == target {
			return s.State == Done
		}
	}
	return false
}

// Complete reports whether all steps are done.
func Complete(steps []*messenger.MoveStep) bool {
	for _, s := range steps {
		if s.State != Done {
			return false
		}
	}
	return true
}

// Postponed returns the move with a later drain if, shortly before the drain
// begins, its arrivals cannot be ready in time by their estimates, or nil.
func Postponed(move *messenger.Move, steps []*messenger.MoveStep, now clocker.Millis) *messenger.Move {
	drain := clocker.Millis(move.DrainAtMs)
	if now < drain-postponeWindowMs || now >= drain-propagationMs {
		return nil
	}
	ready, pending := arrivalsReady(steps, now)
	if !pending || ready <= drain-readyMarginMs {
		return nil
	}
	postponed := proto.CloneOf(move)
	postponed.DrainAtMs += int64(PostponeMs)
	postponed.DueAtMs += int64(PostponeMs)
	return postponed
}

// arrivalsReady returns when the arrivals are ready by the estimates of their
// steps, and whether any of these steps is left.
func arrivalsReady(steps []*messenger.MoveStep, now clocker.Millis) (clocker.Millis, bool) {
	pending := false
	for _, s := range steps {
		if (s.Kind == Load || s.Kind == Warm) && s.State != Done {
			pending = true
			now += clocker.Millis(s.EstimatedMs)
		}
	}
	return now, pending
}
