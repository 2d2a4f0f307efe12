package chooser

import "cowsliphinge/clocker"

const (
	// maxWaitingPart is the part of an engine's slots that may wait before it counts as full: it can't begin
	// more of them soon.
	maxWaitingPart = 0.25
	// maxOwnTokensPart is the part of an engine's cache that the prompts of one host may fill at once. An engine whose
	// requests need more memory than it has falls over.
	maxOwnTokensPart = 0.25
	// maxPartTokens is far above the tokens of a prompt part; callers choose the numbers.
	maxPartTokens = 1 << 30
)

// full reports whether more requests wait at an engine than it can begin soon, by a recent report, or
// this host's own requests fill their part of its memory.
func (m *serverState) full(now clocker.Millis) bool {
	if m.cache.capacity <= 0 {
		return false
	}
	if float64(m.outstandingTokens) > maxOwnTokensPart*float64(m.cache.capacity) {
		return true
	}
	return m.reportedWithin(maxLoadAge, now) && float64(m.load.Queued) > max(1, maxWaitingPart*float64(m.slots()))
}

// promptTokens returns the number of tokens of a prompt.
func promptTokens(prompt []PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		tokens += min(max(0, p.Tokens), maxPartTokens)
	}
	return tokens
}
