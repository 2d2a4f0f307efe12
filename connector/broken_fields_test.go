package connector_test

import (
	"testing"

	"cowsliphinge/standin/responder"
)

// Guards against broken answers that are passed on: fasthttp believes a field with a blank behind its name.
func TestAnswersWithBrokenFieldsFail(t *testing.T) {
	checkBroken(t, responder.BrokenFields("X-Request-Id: 1\r\n"))
}
