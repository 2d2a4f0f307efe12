package chooser

import (
	"cowsliphinge/clocker"
)

const (
	// limitUse is the fraction of a server's limit that all hosts together use. The requests
	// of many hosts arrive unevenly.
	limitUse = 0.75
	// minLimit is the lowest limit in force, in requests a second. Without any request no
	// response could tell that the limit has ended.
	minLimit = 0.1
	// permitLifetime is how long a host may use a permit after it was issued, in
	// milliseconds. It bounds the burst of many hosts whose permits were not used for long.
	permitLifetime = 500 * clocker.Millis(1)
)

// requestLimit is the limit of a server, in force at all hosts together, and the permits of
// this host for it. The host gets an even part of the permits, at moments that are random to
// those of other hosts; each permit allows one request.
type requestLimit struct {
	limited   bool
	perSecond float64
	// namedAt is when the server last named a limit, and endedAt when the last request was
	// sent whose response named none.
	namedAt clocker.Millis
	endedAt clocker.Millis
	// permits are those issued and not used.
	permits float64
	// credit is the fraction of the next permit that has accrued by updatedAt.
	credit    float64
	updatedAt clocker.Millis
	// issuedAt is when the last permit was issued.
	issuedAt clocker.Millis
}

// apply applies the limit of a response. A limit ends with a response that names none, if its
// request was sent after a limit was last named: responses may arrive out of order. phase
// returns the fraction of the first permit that has accrued at the start of a limit, in [0, 1).
func (l *requestLimit) apply(r RequestLimit, phase func() float64, now clocker.Millis) {
	if r.Named {
		l.name(r.PerSecond, now, phase, now)
	} else {
		l.end(r.SentAt)
	}
}

// name applies a limit that the server named at namedAt.
func (l *requestLimit) name(perSecond float64, namedAt clocker.Millis, phase func() float64, now clocker.Millis) {
	if namedAt < l.namedAt || namedAt < l.endedAt {
		return
	}
	l.perSecond, l.namedAt = perSecond, namedAt
	if !l.limited {
		l.limited, l.permits, l.credit, l.updatedAt = true, 0, phase(), now
	}
}

// end applies a response without a limit to a request that was sent at sentAt.
func (l *requestLimit) end(sentAt clocker.Millis) {
	if sentAt > l.namedAt {
		l.limited, l.endedAt = false, max(l.endedAt, sentAt)
	}
}

// ownRate returns the permits a second of this host, given the number of hosts; 0 if that is
// not known.
func (l *requestLimit) ownRate(hosts int) float64 {
	if hosts <= 0 {
		return 0
	}
	return max(l.perSecond, minLimit) * limitUse / float64(hosts)
}

// allows reports whether a permit is left, after the issue of those that are due.
func (l *requestLimit) allows(hosts int, now clocker.Millis) bool {
	if !l.limited {
		return true
	}
	l.issue(l.ownRate(hosts), now)
	return l.permits >= 1
}

// issue issues the permits that are due by now at a rate per second. Permits that were issued
// more than permitLifetime ago are lost.
func (l *requestLimit) issue(rate float64, now clocker.Millis) {
	accrued := l.credit + rate*float64(now-l.updatedAt)/float64(clocker.Second)
	l.updatedAt = now
	due := float64(int64(accrued))
	l.credit = accrued - due
	if due > 0 {
		l.issuedAt = now - clocker.Millis(l.credit/rate*float64(clocker.Second))
		perLifetime := rate * float64(permitLifetime) / float64(clocker.Second)
		l.permits = min(l.permits+due, max(1, perLifetime))
	}
	if now-l.issuedAt >= permitLifetime {
		l.permits = 0
	}
}

// use takes a permit for a request.
func (l *requestLimit) use() {
	l.permits = max(0, l.permits-1)
}

// nextPermitAt returns when the next permit is issued, 0 if that is not known.
func (l *requestLimit) nextPermitAt(hosts int, now clocker.Millis) clocker.Millis {
	rate := l.ownRate(hosts)
	if rate <= 0 {
		return 0
	}
	l.issue(rate, now)
	return now + 1 + clocker.Millis((1-l.credit)/rate*float64(clocker.Second)) // rounded up
}
