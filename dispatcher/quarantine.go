package dispatcher

import (
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/quarantiner"
)

// crashWindow is the time within which the crashes of one backend server count as one, in
// milliseconds. Declared servers name no incarnation.
const crashWindow = 2 * clocker.Second

// Quarantine tells which requests must not be sent because they crash backend servers.
type Quarantine interface {
	// Refused returns until when the request must not be sent, 0 if it may be.
	Refused(r quarantiner.Request) clocker.Millis
	// Answered records a complete answer.
	Answered(s quarantiner.Server, r quarantiner.Request, framed bool)
	// Crashed records that a server crashed before it had begun to answer the request.
	Crashed(s quarantiner.Server, r quarantiner.Request)
}

// noQuarantine replaces a nil Quarantine.
type noQuarantine struct{}

func (noQuarantine) Refused(quarantiner.Request) clocker.Millis             { return 0 }
func (noQuarantine) Answered(quarantiner.Server, quarantiner.Request, bool) {}
func (noQuarantine) Crashed(quarantiner.Server, quarantiner.Request)        {}

// suspectOf returns what the quarantine compares of a call.
func suspectOf(call Call) quarantiner.Request {
	account := ""
	if call.Account != nil {
		account = call.Account.Name
	}
	service := ""
	if call.Service != nil {
		service = call.Service.Name
	}
	return quarantiner.NewRequest(account, quarantiner.Content{Method: call.Method, Target: service + call.Path, Body: call.Body}, nil)
}

// quarantined returns the refusal of a request that crashes backend servers, or nil.
func (r *activeRequest) quarantined() *Refusal {
	until := r.d.cfg.Quarantine.Refused(r.suspect)
	if until == 0 {
		return nil
	}
	refusal := NewRefusal(CodeQuarantined, r.call.RequestID, r.progress == NotDispatched, "backend servers crashed under this request, or a host that has just started does not know yet")
	refusal.RetryAfterMs = until - r.d.cfg.Clock.Now()
	return refusal
}

// server returns the identity of the chosen backend server at this time.
func (r *activeRequest) server() quarantiner.Server {
	now := r.d.cfg.Clock.Now()
	return quarantiner.Server{ID: r.choice.Server.Name, StartedAt: now - now%crashWindow}
}

// reportCrash reports a crash of the chosen server if the connection was lost for that reason before
// the server had begun its answer.
func (r *activeRequest) reportCrash(cause error) {
	if r.choice.Server == nil || r.d.cfg.Refuses == nil || !connector.IsConnectionLost(cause) {
		return
	}
	if r.d.cfg.Refuses(r.choice.Server.Address) {
		r.d.cfg.Quarantine.Crashed(r.server(), r.suspect)
	}
}

// reportAnswer reports that the chosen server answered the request.
func (r *activeRequest) reportAnswer() {
	if r.choice.Server != nil {
		r.d.cfg.Quarantine.Answered(r.server(), r.suspect, true)
	}
}
