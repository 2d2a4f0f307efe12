package orderer_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/orderer"
	"cowsliphinge/standin/responder"
)

// checkBroken has an engine send broken answers. No order counts as accepted by them, and no state is known.
func checkBroken(t *testing.T, shapes []responder.Shape) {
	for _, shape := range shapes {
		text := strings.ReplaceAll(shape.Text, responder.Body, "null")
		s, err := responder.Start(responder.Config{Respond: func(*http.Request) string { return text }})
		assert.NilError(t, err)
		client := orderer.NewClient(orderer.ClientConfig{})
		assert.Assert(t, client.Order(context.Background(), s.Address(), orderer.Order{Fencing: 1}) != nil, shape.Name)
		_, err = client.InFlight(context.Background(), s.Address())
		assert.Assert(t, err != nil, shape.Name)
		s.Close()
	}
}

// Guards against an order that counts as accepted for a status that is none.
func TestAnswersWithBrokenStatusTellNothing(t *testing.T) {
	checkBroken(t, responder.BrokenStatuses(""))
}

// Guards against an order that counts as accepted though the answer is broken.
func TestAnswersWithBrokenFieldsTellNothing(t *testing.T) {
	checkBroken(t, responder.BrokenFields(""))
}
