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

// ticketPrefix starts each idempotency key that is a ticket.
const ticketPrefix = "ticket."

// ticket is a parsed key of the form ticket.<incarnation>.<number>.<expiry>.<code>.
type ticket struct {
	incarnation string
	number      int64
	// expiry is when the ticket can no longer be used for the first time, by
	// the clock of its issuer, in milliseconds since the Unix epoch.
	expiry clocker.Millis
	code   string
}

// parseTicket reports whether the key has the form of a ticket.
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
		code:        parts[n-1],
	}, true
}

// record is what the issuer knows of a used ticket.
type usedTicket struct {
	claim    *messenger.Claim
	expiry   clocker.Millis
	deadline clocker.Millis
}

// tickets are the tickets of one incarnation, which alone runs them. An unused
// ticket takes no memory: its code proves that it was issued. They do no I/O
// and are not safe for concurrent use.
type tickets struct {
	incarnation string
	secret      []byte
	maxUsed     int
	issued      int64
	// stopped ends the use of tickets that were not yet used.
	stopped bool
	used    map[int64]*usedTicket
	// answerBytes is the size of all kept bodies; order is their age.
	answerBytes int
	answerOrder []int64
}

func newTickets(incarnation string, secret []byte, maxUsed int) *tickets {
	return &tickets{incarnation: incarnation, secret: secret, maxUsed: maxUsed, used: map[int64]*usedTicket{}}
}

// issue returns a ticket that may be used until now plus life.
func (t *tickets) issue(clientAccount string, now, lifetime clocker.Millis) string {
	t.issued++
	expiry := now + lifetime
	code := t.code(clientAccount, t.issued, expiry)
	return fmt.Sprintf("%s%s.%d.%d.%s", ticketPrefix, t.incarnation, t.issued, expiry, code)
}

// open decides on a request with an own ticket.
func (t *tickets) claim(tk ticket, req Request, now clocker.Millis) Decision {
	expectedCode := t.code(req.ClientAccount, tk.number, tk.expiry)
	if !hmac.Equal([]byte(tk.code), []byte(expectedCode)) {
		return Decision{Verdict: KeyReused}
	}
	used := t.used[tk.number]
	if used != nil && used.claim.State != messenger.ClaimState_RELEASED {
		return t.decideRepeat(used, req)
	}
	if t.stopped {
		// The record may already free the ticket for other hosts.
		return Decision{Verdict: Undetermined}
	}
	if used != nil && now >= tk.expiry {
		return Decision{Verdict: Unreachable}
	}
	if now >= tk.expiry {
		// Whether a record was forgotten is not known, so it may have run.
		return Decision{Verdict: OutcomeUnknown}
	}
	if used == nil && len(t.used) >= t.maxUsed {
		return Decision{Verdict: Unreachable}
	}
	claim := &messenger.Claim{
		ClientAccount:  req.ClientAccount,
		IdempotencyKey: req.IdempotencyKey,
		Incarnation:    t.incarnation,
		Attempt:        1,
		State:          messenger.ClaimState_CLAIMED,
		BodyHash:       bytes.Clone(req.BodyHash[:]),
		ClaimedAtMs:    int64(now),
	}
	if used != nil {
		claim.Attempt = used.claim.Attempt + 1
	}
	t.used[tk.number] = &usedTicket{claim: claim, expiry: tk.expiry, deadline: req.Deadline}
	return Decision{Verdict: Owned, Claim: proto.CloneOf(claim)}
}

func (t *tickets) decideRepeat(used *usedTicket, req Request) Decision {
	if !bytes.Equal(used.claim.BodyHash, req.BodyHash[:]) {
		return Decision{Verdict: KeyReused}
	}
	return decideRepeat(used.claim, true)
}

// of returns the record of a claim under a ticket, or nil.
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

// dispatched notes that a claim is sent to a backend server, and reports
// whether it still may be.
func (t *tickets) markDispatched(claim *messenger.Claim, now clocker.Millis) bool {
	_, used := t.find(claim)
	if used == nil || used.claim.State > messenger.ClaimState_DISPATCHED || now >= used.deadline {
		return false
	}
	used.claim.State = messenger.ClaimState_DISPATCHED
	return true
}

// end sets the last state of a claim; only the first call counts.
func (t *tickets) setFinal(claim *messenger.Claim, state messenger.ClaimState, answer *messenger.StoredAnswer) {
	number, used := t.find(claim)
	if used == nil || used.claim.State > messenger.ClaimState_DISPATCHED {
		return
	}
	used.claim.State = state
	used.claim.Answer = answer
	t.limitAnswerBytes(number, answer)
}

// keep drops the bodies of the oldest answers once they take too much memory.
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

// forget drops the records of tickets whose answers are no longer kept. Their
// tickets have expired, so that no repeat can run.
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

func (t *tickets) code(clientAccount string, number int64, expiry clocker.Millis) string {
	mac := hmac.New(sha256.New, t.secret)
	fmt.Fprintf(mac, "%s\x00%d\x00%d", clientAccount, number, expiry)
	return hex.EncodeToString(mac.Sum(nil)[:16])
}

// truncated returns the answer without its body.
func withoutBody(answer *messenger.StoredAnswer) *messenger.StoredAnswer {
	return &messenger.StoredAnswer{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		StoredAtMs:  answer.StoredAtMs,
		Truncated:   true,
	}
}
