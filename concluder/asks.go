// Package concluder decides what is known of the end of an answer. Its decisions are pure: packages carrier and relayer
// gather the evidence, ask servers and wait.
//
// An answer without a length ends with its connection, whether its server has completed it or has died. The server is
// therefore asked afterwards; what it answers tells of all answers that had ended when it was asked.
package concluder

import "cowsliphinge/clocker"

// MaxDelay is how long the end of an answer may wait for others that one ask can serve, in milliseconds.
const MaxDelay = 500 * clocker.Millis(1)

// Supply is what there is to ask a server with, and who needs it.
type Supply struct {
	// Connections are those that are open to the server.
	Connections int
	// SingleUse is true if the server closes a connection behind each answer.
	SingleUse bool
	// Unended counts the answers without a length that the server still sends.
	Unended int
}

// Delay returns how long the first of the answers that have ended since the last ask may wait for others to end, in
// milliseconds. It waits only where an ask now would leave too few connections for the answers to come.
func (s Supply) Delay() clocker.Millis {
	if !s.SingleUse || s.Connections > s.Unended {
		return 0
	}
	if s.Unended == 0 { // nobody else to wait for
		return 0
	}
	return MaxDelay
}

// Wanted returns how many connections are enough to ask about a number of answers, the last of which ends within
// remaining, in milliseconds: one for each, or one for each MaxDelay if that is less.
func Wanted(answers int, remaining clocker.Millis) int {
	return min(answers, int(max(0, remaining)/MaxDelay)+1)
}
