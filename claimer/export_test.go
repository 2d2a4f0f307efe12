package claimer

import (
	"context"

	"cowsliphinge/messenger"
)

// Sweep deletes the expired claims of one partition.
func Sweep(ctx context.Context, c *Claimer, partition int) {
	c.sweep(ctx, partition)
}

// SetResolve replaces the function Resolve, for mutations of the code.
func (c *Claimer) SetResolve(resolve func(ResolveInput) (KeyState, Decision)) {
	c.resolve = resolve
}

// ImpersonateTickets makes c accept the tickets of another incarnation, which is a
// mutation of the code.
func (c *Claimer) ImpersonateTickets(other *Claimer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets.incarnation = other.tickets.incarnation
	c.tickets.secret = other.tickets.secret
}

// ResolveReclaimingDead is a mutation of Resolve: it frees the claims of owners that are believed dead.
func ResolveReclaimingDead(v ResolveInput) (KeyState, Decision) {
	if !sameAttempt(v.Proposed, v.Stored) && v.Stored.State == messenger.ClaimState_CLAIMED && !v.OwnerAlive {
		return KeyFree, Decision{}
	}
	return Resolve(v)
}

// ParseTicket reports whether a key has the form of a ticket.
var ParseTicket = parseTicket

// ForgetExpired drops the state of tickets whose retention has passed.
func ForgetExpired(c *Claimer) {
	c.forgetExpired()
}
