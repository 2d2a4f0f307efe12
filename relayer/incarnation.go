package relayer

import "cowsliphinge/chooser"

// What an attempt tells of a server counts for the incarnation that it was sent to: the server may have started
// again meanwhile.

// incarnation returns the server of an attempt, as the incarnation that answers it.
func (a *attempt) incarnation() chooser.Server {
	s := a.server
	if a.response != nil && a.response.StartedAt() > 0 {
		s.StartedAt = a.response.StartedAt()
	}
	return s
}

// finish records the outcome of an attempt.
func (x *relayedRequest) finish(a *attempt, o chooser.Outcome) {
	if o == chooser.NoFailure && a.headerReceived && x.ctx.Err() == nil { // else the caller may have left early
		after := x.cfg.Clock.Now() - a.sentAt
		x.recordActivity(a, chooser.StatusReport{Completion: &chooser.Completion{Dispatch: a.dispatch, After: after}})
	}
	if !x.cfg.Servers.Replaced(a.incarnation()) {
		x.cfg.Servers.Finish(a.server.ID, x.chooserRequest(), o)
	}
}

// recordActivity records that bytes arrived from the server of an attempt, and what it reported.
func (x *relayedRequest) recordActivity(a *attempt, report chooser.StatusReport) {
	if !x.cfg.Servers.Replaced(a.incarnation()) {
		x.cfg.Servers.RecordActivity(a.server.ID, report)
	}
}

// markDown records that nothing listens at the address of the server of an attempt.
func (x *relayedRequest) markDown(a *attempt) {
	if !x.cfg.Servers.Replaced(a.incarnation()) {
		x.cfg.Servers.MarkDown(a.server.ID)
	}
}
