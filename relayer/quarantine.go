package relayer

import (
	"errors"
	"io"
	"syscall"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
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

func (noQuarantine) Refused(quarantiner.Request) clocker.Millis         { return 0 }
func (noQuarantine) Answered(chooser.Server, quarantiner.Request, bool) {}
func (noQuarantine) Crashed(chooser.Server, quarantiner.Request)        {}

// requestOfPrompt returns what the quarantine compares of the request.
func (x *relayedRequest) requestOfPrompt() quarantiner.Request {
	if len(x.prompt) == 0 {
		return quarantiner.Request{}
	}
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	ids := make([]string, 0, len(x.prompt))
	for _, p := range x.prompt {
		ids = append(ids, p.ID)
	}
	return quarantiner.NewRequest(account, ids)
}

// fingerprint returns the hash of what stays the same when a caller sends a request again: client
// account, method, path and body.
func (x *relayedRequest) fingerprint() uint64 {
	h := xxhash.New()
	account := ""
	if x.account != nil {
		account = x.account.Name
	}
	for _, field := range []string{account, x.req.Method, requestTarget(x.req)} {
		_, _ = h.WriteString(field) // never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.body)
	return h.Sum64()
}

// quarantined returns the failure of a request whose prompt crashes servers. Its status is not that of
// a bad request: the fleet's evidence may be wrong, and the caller may come back once it is held no
// longer.
func (x *relayedRequest) quarantined() (failure, bool) {
	if len(x.promptRequest.Parts) == 0 {
		return failure{}, false
	}
	until := x.cfg.Quarantine.Refused(x.promptRequest)
	if until == 0 {
		return failure{}, false
	}
	return promptQuarantined.withMinRetryAfter(until - x.cfg.Clock.Now()), true
}

// reportAnswer reports that a server answered the request successfully.
func (x *relayedRequest) reportAnswer(server chooser.Server, response *carrier.Response, hasBody bool) {
	if len(x.promptRequest.Parts) > 0 && response.StatusCode/100 == 2 && hasBody {
		x.cfg.Quarantine.Answered(server, x.promptRequest, response.Framed())
	}
}

// reportCrash reports a crash of the server if the connection was lost for that reason before the
// server had begun its answer. A server that leaves stops as planned.
func (x *relayedRequest) reportCrash(server chooser.Server, cause error) {
	if len(x.promptRequest.Parts) == 0 || x.ctx.Err() != nil || !connectionLost(cause) {
		return
	}
	if x.answerBegan > 0 && x.cfg.Clock.Now()-x.answerBegan > answerBeginning {
		return
	}
	if x.cfg.Servers.Leaving(server.ID) {
		return
	}
	if x.cfg.Carrier.Refuses(x.ctx, carrier.Target{ID: server.ID, Address: server.Address}, crashProbeTimeout) {
		x.log.setServerCrashed()
		x.cfg.Quarantine.Crashed(server, x.promptRequest)
	}
}

// connectionLost reports whether the connection ended, and not only the patience of this host.
func connectionLost(err error) bool {
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}
