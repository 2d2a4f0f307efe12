package relayer

import (
	"context"

	"cowsliphinge/chooser"
)

// sameOrigin replaces nil Origins.
type sameOrigin struct{}

func (sameOrigin) Began(string, chooser.Server)                          {}
func (sameOrigin) Origin(context.Context, string, string) (string, bool) { return "", true }

// streamOrigin is the software version that began the stream of a request.
type streamOrigin struct {
	known    bool
	software string
}

// findOrigin finds the version that began the stream that the caller takes up, if it does. It returns a
// failure and false if that is not known: what two versions write does not fit together.
func (x *relayedRequest) findOrigin() (failure, bool) {
	if x.position.callerLast == unnumbered {
		return failure{}, true
	}
	x.origin.software, x.origin.known = x.cfg.Origins.Origin(x.ctx, x.streamID(x.req.Header.Get(x.cfg.HeaderNames.TakenUp)), x.service.Name)
	if !x.origin.known {
		return originUnknown, false
	}
	return failure{}, true
}

// setOrigin records which server sends the first event of the stream, unless it may be another
// incarnation than its entry tells of.
func (x *relayedRequest) setOrigin(a *attempt) {
	if x.origin.known || a.mayHaveRestarted && !a.response.Identified() {
		return
	}
	x.origin = streamOrigin{known: true, software: a.server.Software}
	if id := x.streamID(x.id); id != "" {
		x.cfg.Origins.Began(id, a.server)
	}
}

// streamID returns the ID of a stream that a request of the caller began, or "" without the ID of a
// request. Callers choose these IDs, so those of two client accounts may be equal.
func (x *relayedRequest) streamID(requestID string) string {
	if requestID == "" || x.account == nil {
		return requestID
	}
	return x.account.Name + "\x00" + requestID
}

// originLost reports whether the caller has events of a stream whose origin is not known, so that no server
// may continue it. With one version in use that is the origin.
func (x *relayedRequest) originLost() bool {
	if x.position.forwarded > 0 && !x.origin.known {
		x.origin.software, x.origin.known = x.cfg.Origins.Origin(x.ctx, "", x.service.Name)
	}
	return x.position.forwarded > 0 && !x.origin.known
}

// chooserRequest returns what the choice of the next server depends on. Only a request that has not run may be refused for
// want of room.
func (x *relayedRequest) chooserRequest() chooser.Request {
	r := chooser.Request{Service: x.service.Name, Prompt: x.prompt, Resumable: x.resumable(), Pinned: x.origin.known, Software: x.origin.software, Avoid: x.triedServers, Rank: x.priority(), Ordered: x.service.Engine}
	if x.account != nil {
		r.Account = x.account.Name
	}
	if !x.mayHaveRun() {
		r.StartBefore = x.deadline
	}
	return r
}
