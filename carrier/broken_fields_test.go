package carrier

import (
	"testing"

	"cowsliphinge/standin/responder"
)

// Guards against broken responses that callers get: net/http keeps fields with a blank in their name, and ignores them
// as framing.
func TestResponsesWithBrokenFieldsFail(t *testing.T) {
	checkBroken(t, responder.BrokenFields("X-Id: 1\r\n"))
}
