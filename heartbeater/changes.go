package heartbeater

import (
	"log/slog"

	"cowsliphinge/clocker"
)

// firstHeardQuiet is how long no further peer was heard for the first time before one line tells how many were, in
// milliseconds. A line for each made 22,355 lines at a start of 62 hosts.
const firstHeardQuiet = 2 * clocker.Second

// peerChanges selects the changes of peers that are logged.
type peerChanges struct {
	// firstHeard are the peers that were heard for the first time since the last summary, and firstHeardAt is
	// when the last of them was.
	firstHeard   int
	firstHeardAt clocker.Millis
}

// peerChange is a change to log: that of one peer or, without a peer, a summary of those that were heard for
// the first time.
type peerChange struct {
	peer         *Peer
	change       string
	heard, known int
}

func (c peerChange) log() {
	if c.peer == nil {
		slog.Info("peers heard for the first time", "count", c.heard, "known", c.known)
		return
	}
	slog.Info("peer changed", "change", c.change, "host", c.peer.Host, "incarnation", c.peer.Incarnation, "suspect", c.peer.Suspect, "draining", c.peer.Draining)
}

// observe compares two lists of peers, ordered by name, and returns the changes to log.
func (l *peerChanges) observe(old, current []Peer, now clocker.Millis) []peerChange {
	oldByHost := make(map[string]Peer, len(old))
	for _, p := range old {
		oldByHost[p.Host] = p
	}
	var changes []peerChange
	for i := range current {
		p := &current[i]
		previous := oldByHost[p.Host]
		delete(oldByHost, p.Host)
		if previous.LastHeard == 0 {
			if p.LastHeard > 0 {
				l.firstHeard++
				l.firstHeardAt = now
			}
			continue
		}
		if change := nameChange(previous, *p); change != "" {
			changes = append(changes, peerChange{peer: p, change: change})
		}
	}
	for _, p := range old {
		if _, gone := oldByHost[p.Host]; gone && p.LastHeard > 0 {
			changes = append(changes, peerChange{peer: &p, change: "gone"})
		}
	}
	if l.firstHeard > 0 && now-l.firstHeardAt >= firstHeardQuiet {
		changes = append(changes, peerChange{heard: l.firstHeard, known: len(current)})
		l.firstHeard = 0
	}
	return changes
}

// nameChange returns the change of a peer that was heard before, empty if none is logged.
func nameChange(previous, p Peer) string {
	switch {
	case p.Suspect && !previous.Suspect:
		return "suspected"
	case !p.Suspect && previous.Suspect:
		return "back"
	case p.Draining && !previous.Draining:
		return "draining"
	case p.Incarnation != previous.Incarnation:
		return "restarted"
	default:
		return ""
	}
}
