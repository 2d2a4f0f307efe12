package heartbeater

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Guards against a line for each peer when a fleet starts, and for lines that an operator needs: 61 peers that are
// heard one after the other, then one that is suspected, comes back, restarts, drains and is removed.
func TestOneLineTellsOfAStart(t *testing.T) {
	var l peerChanges
	var peers []Peer
	for i := range 61 {
		peers = append(peers, Peer{Host: fmt.Sprintf("host-%02d", i), Suspect: true})
	}
	now := 10 * clocker.Second
	var lines []peerChange
	update := func(change func(p []Peer) []Peer) {
		now += 100
		old := append([]Peer(nil), peers...)
		peers = change(append([]Peer(nil), peers...))
		lines = append(lines, l.observe(old, peers, now)...)
	}
	for i := range peers {
		update(func(p []Peer) []Peer {
			p[i].Suspect, p[i].LastHeard, p[i].Incarnation = false, now, p[i].Host+"-1"
			return p
		})
	}
	for range 30 {
		update(func(p []Peer) []Peer { return p })
	}
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].heard, 61)

	lines = nil
	update(func(p []Peer) []Peer { p[3].Suspect = true; return p })
	update(func(p []Peer) []Peer { p[3].Suspect = false; return p })
	update(func(p []Peer) []Peer { p[3].Incarnation = "host-03-2"; return p })
	update(func(p []Peer) []Peer { p[3].Draining = true; return p })
	update(func(p []Peer) []Peer { return append(p[:3], p[4:]...) })
	var named []string
	for _, c := range lines {
		assert.Equal(t, c.peer.Host, "host-03")
		named = append(named, c.change)
	}
	assert.DeepEqual(t, named, []string{"suspected", "back", "restarted", "draining", "gone"})
}
