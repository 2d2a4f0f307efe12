package claimer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// ticketPrefix is the prefix of idempotency keys that are tickets.
const ticketPrefix = "ticket."

// ticket is a parsed idempotency key of the form
// ticket.<incarnation>.<number>.<expiry>.<mac>.
type ticket struct {
	incarnation string
	number      int64
	// expiry is the time from which the ticket can no longer be used for the
	// first time, by the clock of its issuer, in milliseconds since the Unix epoch.
	expiry clocker.Millis
	// mac is a message authentication code in hexadecimal.
	mac string
}

// parseTicket parses a key and reports whether it has the form of a ticket. It
// does not verify the mac.
func parseTicket(key string) (ticket, bool) {
	fields, ok := strings.CutPrefix(key, ticketPrefix)
	if !ok {
		return ticket{}, false
	}
	parts := strings.Split(fields, ".")
	n := len(parts)
	if n < 4 {
		return ticket{}, false
	}
	number, err := strconv.ParseInt(parts[n-3], 10, 64)
	if err != nil {
		return ticket{}, false
	}
	expiry, err := strconv.ParseInt(parts[n-2], 10, 64)
	if err != nil {
		return ticket{}, false
	}
	return ticket{
		incarnation: strings.Join(parts[:n-3], "."),
		number:      number,
		expiry:      clocker.Millis(expiry),
		mac:         parts[n-1],
	}, true
}

// usedTicket is the state that the issuer keeps of a used ticket.
type usedTicket struct {
	claim    *messenger.Claim
	expiry   clocker.Millis
	deadline clocker.Millis
}

// tickets holds the tickets of one incarnation; no other incarnation runs their
// requests while this one runs. An unused ticket takes no memory, because its MAC
// proves that it was issued. The type does no I/O and is not safe for concurrent
// use.
type tickets struct {
	incarnation string
	secret      []byte
	maxUsed     int
	issued      int64
	// stopped makes claim refuse tickets that are unused or released.
	stopped bool
	used    map[int64]*usedTicket
	// answerBytes is the total size of the answer bodies in used. answerOrder
	// lists the numbers of their tickets, oldest answer first.
	answerBytes int
	answerOrder []int64
}

func newTickets(incarnation string, secret []byte, maxUsed int) *tickets {
	return &tickets{incarnation: incarnation, secret: secret, maxUsed: maxUsed, used: map[int64]*usedTicket{}}
}

// issue returns a ticket that expires at now plus lifetime.
func (t *tickets) issue(clientAccount string, now, lifetime clocker.Millis) string {
	t.issued++
	expiry := now + lifetime
	mac := t.mac(clientAccount, t.issued, expiry)
	return fmt.Sprintf("%s%s.%d.%d.%s", ticketPrefix, t.incarnation, t.issued, expiry, mac)
}

// claim decides on a request with a ticket of this incarnation.
func (t *tickets) claim(tk ticket, req Request, now clocker.Millis) Decision {
	expectedMAC := t.mac(req.ClientAccount, tk.number, tk.expiry)
	if !hmac.Equal([]byte(tk.mac), []byte(expectedMAC)) {
		return Decision{Verdict: KeyReused}
	}
	used := t.used[tk.number]
	if used != nil && used.claim.State != messenger.ClaimState_RELEASED {
		return t.decideRetry(used, req)
	}
	if t.stopped {
		// The ticket record may already be written, so another host may claim the
		// ticket.
		return Decision{Verdict: UnknownForNow}
	}
	if used != nil && now >= tk.expiry {
		return Decision{Verdict: NotClaimed}
	}
	if now >= tk.expiry {
		// The state of a used ticket may have been dropped, so the request may
		// have run.
		return Decision{Verdict: PermanentlyUnknown}
	}
	if used == nil && len(t.used) >= t.maxUsed {
		return Decision{Verdict: NotClaimed}
	}
	claim := &messenger.Claim{
		ClientAccount:  req.ClientAccount,
		IdempotencyKey: req.IdempotencyKey,
		Incarnation:    t.incarnation,
		Attempt:        1,
		State:          messenger.ClaimState_CLAIMED,
		BodyHash:       bytes.Clone(req.RequestHash[:]),
		ClaimedAtMs:    int64(now),
	}
	if used != nil {
		claim.Attempt = used.claim.Attempt + 1
	}
	t.used[tk.number] = &usedTicket{claim: claim, expiry: tk.expiry, deadline: req.Deadline}
	return Decision{Verdict: Owned, Claim: proto.CloneOf(claim)}
}

func (t *tickets) decideRetry(used *usedTicket, req Request) Decision {
	if !bytes.Equal(used.claim.BodyHash, req.RequestHash[:]) {
		return Decision{Verdict: KeyReused}
	}
	return decideRetry(used.claim, true)
}

// find returns the number and state of the ticket that a claim belongs to; the
// state is nil if there is none.
func (t *tickets) find(claim *messenger.Claim) (int64, *usedTicket) {
	tk, ok := parseTicket(claim.IdempotencyKey)
	if !ok || tk.incarnation != t.incarnation {
		return 0, nil
	}
	used := t.used[tk.number]
	if used == nil || !sameAttempt(used.claim, claim) {
		return 0, nil
	}
	return tk.number, used
}

// markDispatched records that a claimed request is about to be sent to a backend
// server, and reports whether it may be sent.
func (t *tickets) markDispatched(claim *messenger.Claim, now clocker.Millis) bool {
	_, used := t.find(claim)
	if used == nil || used.claim.State > messenger.ClaimState_DISPATCHED || now >= used.deadline {
		return false
	}
	used.claim.State = messenger.ClaimState_DISPATCHED
	return true
}

// setFinal sets the final state of a claim. It does nothing if the state is
// already set.
func (t *tickets) setFinal(claim *messenger.Claim, state messenger.ClaimState, answer *messenger.StoredAnswer) {
	number, used := t.find(claim)
	if used == nil || used.claim.State > messenger.ClaimState_DISPATCHED {
		return
	}
	used.claim.State = state
	used.claim.Answer = answer
	t.limitAnswerBytes(number, answer)
}

// limitAnswerBytes adds the answer of a ticket to the total size and removes the
// bodies of the oldest answers while the total exceeds maxTicketAnswersBytes.
func (t *tickets) limitAnswerBytes(number int64, answer *messenger.StoredAnswer) {
	if answer == nil {
		return
	}
	t.answerBytes += len(answer.Body)
	t.answerOrder = append(t.answerOrder, number)
	for t.answerBytes > maxTicketAnswersBytes {
		oldest := t.used[t.answerOrder[0]]
		t.answerOrder = t.answerOrder[1:]
		if oldest == nil {
			continue
		}
		t.answerBytes -= len(oldest.claim.Answer.GetBody())
		oldest.claim.Answer = withoutBody(oldest.claim.Answer)
	}
}

// forgetExpired drops the state of tickets whose retention has passed. These
// tickets have expired, so a retry with one of them is not run.
func (t *tickets) forgetExpired(now, retention clocker.Millis) {
	for number, used := range t.used {
		unfinished := used.claim.State <= messenger.ClaimState_DISPATCHED
		if unfinished || now < used.expiry+retention {
			continue
		}
		t.answerBytes -= len(used.claim.Answer.GetBody())
		delete(t.used, number)
	}
	t.answerOrder = slices.DeleteFunc(t.answerOrder, func(number int64) bool { return t.used[number] == nil })
}

// mac returns the message authentication code of a ticket: the first 16 bytes of
// an HMAC-SHA-256 in hexadecimal.
func (t *tickets) mac(clientAccount string, number int64, expiry clocker.Millis) string {
	mac := hmac.New(sha256.New, t.secret)
	fmt.Fprintf(mac, "%s\x00%d\x00%d", clientAccount, number, expiry)
	return hex.EncodeToString(mac.Sum(nil)[:16])
}

// withoutBody returns the answer without its body, marked as truncated.
func withoutBody(answer *messenger.StoredAnswer) *messenger.StoredAnswer {
	return &messenger.StoredAnswer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		StoredAtMs:  answer.StoredAtMs,
		Truncated:   true,
	}
}
