package claimer

import (
	"context"

	"cowsliphinge/messenger"
)

// Sweep runs one clean-up.
func Sweep(ctx context.Context, c *Claimer, part int) {
	c.sweep(ctx, part)
}

// SetJudge replaces the decision on stored claims, to plant faults.
func (c *Claimer) SetResolve(judge func(ResolveInput) (KeyState, Decision)) {
	c.resolve = judge
}

// AcceptTicketsOf makes c run the tickets of another incarnation, a fault.
func (c *Claimer) ImpersonateTickets(other *Claimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets.incarnation = other.tickets.incarnation
	c.tickets.secret = other.tickets.secret
}

// ReclaimDead is a Judge that frees the claims of owners that seem gone, a fault.
func ResolveReclaimingDead(v ResolveInput) (KeyState, Decision) {
	if !sameAttempt(v.Proposed, v.Stored) && v.Stored.State == messenger.ClaimState_CLAIMED && !v.OwnerAlive {
		return KeyFree, Decision{}
	}
	return Resolve(v)
}

// ParseTicket reports whether a key has the form of a ticket.
var ParseTicket = parseTicket

// Forget drops what is past its retention.
func ForgetExpired(c *Claimer) {
	c.forgetExpired()
}
