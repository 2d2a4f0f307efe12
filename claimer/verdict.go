// Package claimer ensures that a non-idempotent request with an idempotency key
// runs at most once in the whole fleet. Before a request is dispatched, its key
// is claimed by a conditional write to the platform, or, for a ticket, in the
// memory of the incarnation that issued it.
package claimer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Request describes a request whose idempotency key is to be claimed.
type Request struct {
	ClientAccount  string
	IdempotencyKey string
	// RequestHash is the hash of the method, path and body of the request.
	RequestHash [32]byte
	// Deadline is the time at which the caller stops waiting, in milliseconds since the Unix epoch.
	Deadline clocker.Millis
}

// Verdict is the result of claiming a key.
type Verdict int

// Verdicts of Claim.
const (
	// Owned: only the caller of Claim may dispatch the request.
	Owned Verdict = iota + 1
	// Answered: the request ran earlier; its stored answer is returned.
	Answered
	// InProgress: the request is currently being run.
	InProgress
	// PermanentlyUnknown: the request may have run; it is never run again.
	PermanentlyUnknown
	// KeyReused: the key was used with another request, or is a ticket that was
	// not issued to this client account; this request did not run.
	KeyReused
	// NotClaimed: no claim could be made: the platform did not accept it, too many
	// used tickets are kept, or a released ticket has expired. Neither this request
	// nor an earlier one with the same key ran.
	NotClaimed
	// IssuedElsewhere: the key is a ticket of another incarnation. Only that
	// incarnation may run the request or knows its outcome; forward the request
	// to it.
	IssuedElsewhere
	// UnknownForNow: this request did not run, and it is not known at present
	// whether an earlier one with the same key ran. The caller may retry with
	// the same key.
	UnknownForNow
)

// String returns the verdict's label value in metrics.
func (v Verdict) String() string {
	switch v {
	case Owned:
		return "owned"
	case Answered:
		return "answered"
	case InProgress:
		return "in_progress"
	case PermanentlyUnknown:
		return "outcome_unknown"
	case KeyReused:
		return "key_reused"
	case NotClaimed:
		return "unreachable"
	case IssuedElsewhere:
		return "elsewhere"
	default:
		return "undetermined"
	}
}

// count increments the verdict's counter.
func (v Verdict) count() {
	verdictCounters[v].Inc()
}

var verdictCounters = func() map[Verdict]*metrics.Counter {
	counters := map[Verdict]*metrics.Counter{}
	for v := Owned; v <= UnknownForNow; v++ {
		counters[v] = metrics.GetOrCreateCounter(fmt.Sprintf(`cowsliphinge_claims_total{verdict=%q}`, v))
	}
	return counters
}()

// Decision is the verdict on a request with the data that belongs to it.
type Decision struct {
	Verdict Verdict
	// Claim is set with Owned.
	Claim *messenger.Claim
	// Answer is set with Answered.
	Answer *messenger.StoredAnswer
	// Incarnation is set with IssuedElsewhere.
	Incarnation string
}

// objectKey returns the key of the object that stores a claim. Its prefix of two
// hexadecimal digits divides the claims into partitions, so that a host can delete
// expired claims one partition at a time.
func objectKey(clientAccount, idempotencyKey string) string {
	h := sha256.New()
	h.Write([]byte(clientAccount))
	h.Write([]byte{0})
	h.Write([]byte(idempotencyKey))
	name := hex.EncodeToString(h.Sum(nil))
	return "claim/" + name[:2] + "/" + name
}
