package chooser

import "cowsliphinge/clocker"

// endedIncarnation is an incarnation that another one has replaced.
type endedIncarnation struct {
	Server
	// wasLeaving is true if it had said so, or its entry was removed.
	wasLeaving bool
}

// recordEnd records that another incarnation replaces that of a state, which may be nil.
func (c *Chooser) recordEnd(m *serverState) {
	if m != nil {
		c.ended[m.ID] = endedIncarnation{Server: m.running(), wasLeaving: m.leaving(clocker.Millis(0)) || m.removedAt > 0}
	}
}

// LeftAsPlanned reports whether an incarnation that another one has replaced had been leaving. It is true if that
// is not known.
func (c *Chooser) LeftAsPlanned(s Server) bool {
	e, known := c.ended[s.ID]
	return !known || e.StartedAt != s.StartedAt || e.Address != s.Address || e.wasLeaving
}
