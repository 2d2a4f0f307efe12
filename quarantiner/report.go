package quarantiner

import (
	"slices"

	"cowsliphinge/clocker"
)

const (
	// reportPeriod is how long other hosts are told of a crash under which no part is
	// quarantined, and of a part that was cleared, in milliseconds: many rounds of heartbeats.
	reportPeriod = 15 * clocker.Second
	// maxReports bounds the crashes, and the cleared parts, in one message.
	maxReports = 12
	// compactAfter is the age from which a crash under a quarantined part keeps only what the
	// quarantine needs, in milliseconds. Until then another part may turn out to be the cause.
	compactAfter = 10 * clocker.Second
	// compactCrashes and compactRequests are what is kept of it.
	compactCrashes  = 5
	compactRequests = 2
)

// ClearedPart is a part that a crash was held against, and that turned out to be sound.
type ClearedPart struct {
	Part uint64
	// At is when a request with the part was last answered.
	At clocker.Millis
}

// Report returns what other hosts are told: the crashes under quarantined parts and the recent
// ones, the latest first, and the parts that were cleared lately.
func (q *Quarantiner) Report(now clocker.Millis) ([]Crash, []ClearedPart) {
	q.compact(now)
	blamed := blamedParts(q.Quarantines(now))
	var crashes []Crash
	for _, c := range slices.Backward(q.crashes) {
		if len(crashes) < maxReports && (now-c.At <= reportPeriod || c.hasAny(blamed)) {
			crashes = append(crashes, c)
		}
	}
	q.cleared = slices.DeleteFunc(q.cleared, func(c ClearedPart) bool { return now-c.At > reportPeriod })
	return crashes, slices.Clone(q.cleared)
}

// Held returns the crashes under the parts that are in quarantine.
func (q *Quarantiner) Held(now clocker.Millis) []Crash {
	blamed := blamedParts(q.Quarantines(now))
	var crashes []Crash
	for _, c := range q.crashes {
		if c.hasAny(blamed) {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// Merge adds what another host told. It reports whether that included a recent crash, of which
// others may not know.
func (q *Quarantiner) Merge(crashes []Crash, cleared []ClearedPart, now clocker.Millis) bool {
	for _, c := range cleared {
		if !q.sound.has(c.Part, c.At) {
			q.clearPart(c.Part, c.At, now)
		}
	}
	added := false
	for _, c := range crashes {
		if q.addCrash(c, now) && now-c.At < compactAfter {
			added = true
		}
	}
	return added
}

func (q *Quarantiner) reportCleared(part uint64, at, now clocker.Millis) {
	q.cleared = slices.DeleteFunc(q.cleared, func(c ClearedPart) bool { return c.Part == part || now-c.At > reportPeriod })
	if len(q.cleared) < maxReports {
		q.cleared = append(q.cleared, ClearedPart{Part: part, At: at})
	}
}

// compact drops evidence that quarantines don't need any more.
func (q *Quarantiner) compact(now clocker.Millis) {
	for _, held := range q.Quarantines(now) {
		kept, earliestKept := 0, now
		for i := len(q.crashes) - 1; i >= 0; i-- {
			c := &q.crashes[i]
			if now-c.At < compactAfter || !slices.ContainsFunc(c.Requests, held.covers) {
				continue
			}
			if kept == compactCrashes || earliestKept-c.At < minCrashSpacing {
				q.crashes = slices.Delete(q.crashes, i, i+1)
				continue
			}
			kept++
			earliestKept = c.At
			c.Requests = held.compact(c.Requests)
		}
	}
}

// covers reports whether a suspect request has all parts of the quarantine.
func (held Quarantine) covers(r Request) bool {
	return Quarantine{Parts: held.Parts}.refuses(r)
}

// compact returns requests with the parts of the quarantine alone. Of several client accounts it
// keeps two.
func (held Quarantine) compact(requests []Request) []Request {
	var kept []Request
	for _, r := range requests {
		if !held.covers(r) {
			continue
		}
		r.Parts = held.Parts
		if len(kept) == compactRequests && kept[0].Account == kept[1].Account && kept[0].Account != r.Account {
			kept[1] = r
		}
		if len(kept) < compactRequests {
			kept = append(kept, r)
		}
	}
	return kept
}
