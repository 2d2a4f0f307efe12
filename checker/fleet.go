package checker

import (
	"slices"

	"cowsliphinge/clocker"
)

// LeavingBound is how long a leaving backend server may still get new work, in
// milliseconds.
const LeavingBound = 3 * clocker.Second

// CodeNotConnected marks an attempt whose connection was refused.
const CodeNotConnected = "NotConnected"

const codeDraining = "Draining"

// checkLeavings finds work that began at a backend server that was leaving.
func checkLeavings(v *Verdict, h History) {
	for _, l := range h.Leavings {
		for _, run := range h.Runs {
			if run.Server != l.Server || run.StartedAt <= l.At+LeavingBound {
				continue
			}
			if l.Until == 0 || run.StartedAt < l.Until {
				v.violate(&v.WorkAfterLeaving, "%s began request %s %d ms after it was leaving", l.Server, run.RequestID, run.StartedAt-l.At)
			}
		}
	}
}

// checkStops finds requests that were cut by a planned stop of their host or
// while their backend server was leaving.
func checkStops(v *Verdict, h History, j joined) {
	for _, r := range h.Requests {
		if r.Outcome != Broken && r.Outcome != OutcomeUnknown || neverInFlight(r) {
			continue
		}
		for _, s := range h.Stops {
			if r.Address == s.Address && r.SentAt <= s.Until && r.FinishedAt >= s.From {
				v.violate(&v.CutRequests, "request %s of %s was cut by the stop of %s", r.RequestID, r.ClientAccount, s.Host)
			}
		}
		for _, l := range h.Leavings {
			if r.RequestID != "" && cutByLeaving(j.byRequest[r.RequestID], r, l) {
				v.violate(&v.CutRequests, "request %s of %s was cut while %s was leaving", r.RequestID, r.ClientAccount, l.Server)
			}
		}
	}
}

// neverInFlight reports whether an attempt was turned away before it was in
// flight: nothing listened, or a draining host refused it. Such a refusal of a
// keyed call cannot say "not run", since earlier attempts may have run.
func neverInFlight(r Request) bool {
	return r.Code == CodeNotConnected || r.Code == codeDraining
}

func cutByLeaving(c *call, r Request, l Leaving) bool {
	if r.FinishedAt < l.At || l.Until != 0 && r.SentAt > l.Until {
		return false
	}
	return slices.ContainsFunc(c.runs, func(run Run) bool {
		return run.Server == l.Server && run.RequestID == r.RequestID
	})
}

// checkVersions finds hosts whose configuration went back.
func checkVersions(v *Verdict, h History) {
	seen := slices.Clone(h.Versions)
	slices.SortStableFunc(seen, func(a, b Version) int { return int(a.At - b.At) })
	highest := map[string]int64{}
	for _, s := range seen {
		if s.Version < highest[s.Host] {
			v.violate(&v.VersionFaults, "%s went back from version %d to %d", s.Host, highest[s.Host], s.Version)
		}
		highest[s.Host] = max(highest[s.Host], s.Version)
	}
}

// checkApplies finds versions that two operations were both told to have made.
func checkApplies(v *Verdict, h History) {
	winner := map[int64]string{}
	for _, a := range h.Applies {
		if a.Version == 0 || a.Conflict {
			continue
		}
		if other, ok := winner[a.Version]; ok && other != a.OperationID {
			v.violate(&v.VersionFaults, "version %d was given to operations %s and %s", a.Version, other, a.OperationID)
		}
		winner[a.Version] = a.OperationID
		if a.ExpectedVersion >= a.Version {
			v.violate(&v.VersionFaults, "operation %s on version %d made version %d", a.OperationID, a.ExpectedVersion, a.Version)
		}
	}
}
