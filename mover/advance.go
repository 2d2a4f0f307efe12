package mover

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// maxWarmUpAttempts is the number of attempts after which a warm-up is
	// skipped and the engine starts with a cold cache.
	maxWarmUpAttempts = 3
	// settleMs is the time after DrainAtMs before a report of an idle backend
	// server is trusted: by then every host has the move, and load reports, which
	// lag, have caught up. The timestamp of a report cannot be used for this, as an
	// idle server may report an old sample.
	settleMs = 15 * clocker.Second
	// postponeWindowMs is the time before the drain in which it may be postponed.
	postponeWindowMs = 60 * clocker.Second
	// readyMarginMs is how long before the drain the arrivals must be ready. The
	// margin lets a postponed drain take effect on all hosts in time.
	readyMarginMs = 10 * clocker.Second
	// PostponeMs is the delay added to a drain that is postponed.
	PostponeMs = 10 * clocker.Minute
)

// Observation is what the lease holder observed of the targets of a move.
type Observation struct {
	// Loaded reports for each arriving backend server whether it serves its models.
	Loaded map[string]bool
	// Idle reports for each leaving backend server whether it has no requests.
	Idle map[string]bool
	// LeavingInFlight is the number of requests that live hosts have in flight on
	// leaving backend servers.
	LeavingInFlight int64
	// Hosts holds the leaving hosts from which a heartbeat was received.
	Hosts map[string]HostObservation
	// UnreturnedLimits holds for each leaving host the tokens of its limits that
	// it has not returned; a host that is missing was not checked.
	UnreturnedLimits map[string]int64
	// WarmUps holds the warm-ups by target.
	WarmUps map[string]WarmUp
}

// HostObservation is the latest known state of a leaving host.
type HostObservation struct {
	// Suspect is true if heartbeats of the host no longer arrive.
	Suspect  bool
	Draining bool
	InFlight int64
}

// WarmUp is the progress of copying cached prefixes to an arriving engine. Note
// is set once an attempt has ended.
type WarmUp struct {
	Attempts int
	Done     bool
	Note     string
}

// DrainSettled reports whether reports of leaving servers and hosts can be
// trusted at the given time.
func DrainSettled(move *messenger.Move, now clocker.Millis) bool {
	return now >= clocker.Millis(move.DrainAtMs)+settleMs
}

// Advance returns the steps updated from an observation. Steps that are done
// stay done.
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

// stepDue reports whether a step may run.
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

// Postponed returns the move with a later drain if, shortly before the drain,
// its arrivals will not be ready in time by their estimates. Otherwise it
// returns nil.
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

// arrivalsReady returns the time at which the arrivals are ready by the estimates
// of their steps, and whether any of these steps is pending.
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
