// Package claimer makes a non-idempotent request with an idempotency key run
// at most once in the whole fleet.
package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Request asks to run a keyed request.
type Request struct {
	ClientAccount  string
	IdempotencyKey string
	BodyHash       [32]byte
	// Deadline is when the caller stops waiting, in milliseconds since the Unix epoch.
	Deadline clocker.Millis
}

// Verdict is what a claim led to.
type Verdict int

// Verdicts of Claim.
const (
	// Owned: the caller of Claim alone may dispatch the request.
	Owned Verdict = iota + 1
	// Answered: the request ran before; the stored answer is returned.
	Answered
	// InProgress: another process runs it now.
	InProgress
	// OutcomeUnknown: it may have run; it will never run again.
	OutcomeUnknown
	// KeyReused: the key was used with another body, or is a ticket that was
	// not issued to the client account; nothing ran for this request.
	KeyReused
	// Unreachable: no claim could be made; nothing ran for this request, and
	// nothing could have run for an earlier one.
	Unreachable
	// Elsewhere: the key is a ticket of another incarnation, which alone may
	// run the request or knows its outcome; forward the request there.
	IssuedElsewhere
	// Undetermined: nothing ran for this request, and nobody can tell now
	// whether an earlier one with the key ran. The same key may be repeated.
	Undetermined
)

// String returns the verdict as counters name it.
func (v Verdict) String() string {
	switch v {
	case Owned:
		return "owned"
	case Answered:
		return "answered"
	case InProgress:
		return "in_progress"
	case OutcomeUnknown:
		return "outcome_unknown"
	case KeyReused:
		return "key_reused"
	case Unreachable:
		return "unreachable"
	case IssuedElsewhere:
		return "elsewhere"
	default:
		return "undetermined"
	}
}

// count counts a verdict.
func (v Verdict) count() {
	verdictCounters[v].Inc()
}

var verdictCounters = func() map[Verdict]*metrics.Counter {
	counters := map[Verdict]*metrics.Counter{}
	for v := Owned; v <= Undetermined; v++ {
		counters[v] = metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_claims_total{verdict=%q}`, v))
	}
	return counters
}()

// Decision is the verdict on a request.
type Decision struct {
	Verdict Verdict
	// Claim is set with Owned.
	Claim *messenger.Claim
	// Answer is set with Answered.
	Answer *messenger.StoredAnswer
	// Incarnation is set with Elsewhere.
	Incarnation string
}

// objectKey names the object of a claim. The two hexadecimal digits in front
// let one host clean up one part of the claims at a time.
func objectKey(clientAccount, idempotencyKey string) string {
	h := sha256.New()
	h.Write([]byte(clientAccount))
	h.Write([]byte{0})
	h.Write([]byte(idempotencyKey))
	name := hex.EncodeToString(h.Sum(nil))
	return "claim/" + name[:2] + "/" + name
}
