package relayer

import (
	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/quarantiner"
)

const (
	// crashProbeTimeout limits the dial that tells a crash from a broken path, in
	// milliseconds. A crashed server refuses it within one round trip.
	crashProbeTimeout = 100 * clocker.Millis(1)
	// answerBeginning is how long after the first event a server counts as only beginning its
	// answer, in milliseconds: the events of one write may arrive before its crash.
	answerBeginning = 50 * clocker.Millis(1)
)

// noQuarantine replaces a nil Quarantine.
type noQuarantine struct{}

func (noQuarantine) Refused(quarantiner.Request) clocker.Millis             { return 0 }
func (noQuarantine) Answered(quarantiner.Server, quarantiner.Request, bool) {}
func (noQuarantine) Crashed(quarantiner.Server, quarantiner.Request)        {}

// quarantineRequest returns what the quarantine compares of the request.
func (x *relayedRequest) quarantineRequest() quarantiner.Request {
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	ids := make([]string, 0, len(x.prompt))
	for _, p := range x.prompt {
		ids = append(ids, p.ID)
	}
	content := quarantiner.Content{Method: x.req.Method, Target: requestTarget(x.req), Parts: x.body.Parts()}
	return quarantiner.NewRequest(account, content, ids)
}

// quarantined returns the failure of a request that crashes servers. Its status is not that of
// a bad request: the fleet's evidence may be wrong, and the caller may come back once it is held no
// longer.
func (x *relayedRequest) quarantined() (failure, bool) {
	until := x.cfg.Quarantine.Refused(x.suspect)
	if until == 0 {
		return failure{}, false
	}
	return crashesServers.withMinRetryAfter(until - x.cfg.Clock.Now()), true
}

// reportAnswer reports that a server ran the request without failing. An answer that has neither frame nor
// body, or no frame and another incarnation in place of its server, may be that of a server that crashed, and
// one that tells to come back says nothing of a run.
func (x *relayedRequest) reportAnswer(a *attempt, response *carrier.Response, hasBody bool) {
	if !response.Framed() && x.cfg.Servers.Replaced(a.server) {
		return
	}
	if (hasBody || response.Framed()) && !statusImpliesNotRun(response.StatusCode) {
		x.cfg.Quarantine.Answered(incarnationOf(a.server), x.suspect, response.Framed())
	}
}

// reportCrash reports a crash of the server if the connection was lost for that reason before the
// server had begun its answer. A server that leaves stops as planned. One that does not has crashed if nothing
// listens at its address, or another incarnation does.
func (x *relayedRequest) reportCrash(a *attempt, cause error) {
	if x.ctx.Err() != nil || !connector.IsConnectionLost(cause) {
		return
	}
	if a.answerBegan > 0 && x.cfg.Clock.Now()-a.answerBegan > answerBeginning {
		return
	}
	if !x.crashed(a) {
		return
	}
	a.log.Crashed = true
	x.markDown(a)
	suspect := x.suspect
	suspect.Begun = a.headerReceived
	x.cfg.Quarantine.Crashed(incarnationOf(a.incarnation()), suspect)
}

// crashed reports whether the server of an attempt has ended other than as planned.
func (x *relayedRequest) crashed(a *attempt) bool {
	s := a.incarnation()
	if x.cfg.Servers.Replaced(s) {
		return !x.cfg.Servers.LeftAsPlanned(s)
	}
	return !x.cfg.Servers.Leaving(s.ID) && x.cfg.Carrier.Ended(x.ctx, x.targetOf(a), crashProbeTimeout)
}

func incarnationOf(s chooser.Server) quarantiner.Server {
	return quarantiner.Server{ID: s.ID, StartedAt: s.StartedAt}
}
