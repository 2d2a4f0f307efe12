package mover

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// warmAttempts is how often a warm-up is tried before it is left out.
	warmAttempts = 3
	// settleMs is how long after the drain began a report of an empty backend
	// server is believed: hosts have the move by then, and load reports lag. The
	// time of a report tells nothing, as an idle server may report an old sample.
	settleMs = 15 * clocker.Second
	// postponeAheadMs is how long before the drain it is postponed at the earliest.
	postponeAheadMs = 60 * clocker.Second
	// readyAheadMs is how long before the drain arrivals have to be ready, so that
	// a postponed drain is in force in time.
	readyAheadMs = 10 * clocker.Second
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
func Advance(move *messenger.Move, steps []*messenger.MoveStep, seen Observation, now clocker.Millis) []*messenger.MoveStep {
	next := make([]*messenger.MoveStep, 0, len(steps))
	for _, s := range steps {
		s = proto.CloneOf(s)
		if s.State != Done {
			done, note := stepDone(move, steps, s, seen, now)
			s.Note = note
			if begun(move, steps, s, now) {
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
func begun(move *messenger.Move, steps []*messenger.MoveStep, s *messenger.MoveStep, now clocker.Millis) bool {
	switch s.Kind {
	case Load:
		return now >= clocker.Millis(move.StartAtMs)
	case Warm:
		return isDone(steps, Load, s.Target)
	default:
		return now >= clocker.Millis(move.DrainAtMs)
	}
}

func stepDone(move *messenger.Move, steps []*messenger.MoveStep, s *messenger.MoveStep, seen Observation, now clocker.Millis) (bool, string) {
	switch s.Kind {
	case Load:
		return seen.Loaded[s.Target], ""
	case Warm:
		w := seen.WarmUps[s.Target]
		return isDone(steps, Load, s.Target) && (w.Done || w.Attempts >= warmAttempts), w.Note
	case Drain:
		return drained(move, s, seen, now)
	case Return:
		return returned(steps, s, seen)
	}
	return false, "unknown kind of step"
}

func drained(move *messenger.Move, s *messenger.MoveStep, seen Observation, now clocker.Millis) (bool, string) {
	if !DrainSettled(move, now) {
		return false, ""
	}
	if isHost(move, s.Target) {
		host, heard := seen.Hosts[s.Target]
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
	case !seen.Idle[s.Target]:
		return false, "requests in flight, or no report"
	case seen.LeavingInFlight > 0:
		return false, fmt.Sprintf("hosts have %d requests on leavings", seen.LeavingInFlight)
	}
	return true, ""
}

func returned(steps []*messenger.MoveStep, s *messenger.MoveStep, seen Observation) (bool, string) {
	open, known := seen.UnreturnedLimits[s.Target]
	switch {
	case !isDone(steps, Drain, s.Target):
		return false, ""
	case !known:
		return false, "limits are not known"
	case open > 0:
		return false, fmt.Sprintf("limits of %d tokens are not returned", open)
	}
	return true, ""
}

func isHost(move *messenger.Move, name string) bool {
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
	if now < drain-postponeAheadMs || now >= drain-spreadMs {
		return nil
	}
	ready, left := arrivalsReady(steps, now)
	if !left || ready <= drain-readyAheadMs {
		return nil
	}
	later := proto.CloneOf(move)
	later.DrainAtMs += int64(PostponeMs)
	later.DueAtMs += int64(PostponeMs)
	return later
}

// arrivalsReady returns when the arrivals are ready by the estimates of their
// steps, and whether any of these steps is left.
func arrivalsReady(steps []*messenger.MoveStep, now clocker.Millis) (clocker.Millis, bool) {
	left := false
	for _, s := range steps {
		if (s.Kind == Load || s.Kind == Warm) && s.State != Done {
			left = true
			now += clocker.Millis(s.EstimatedMs)
		}
	}
	return now, left
}
