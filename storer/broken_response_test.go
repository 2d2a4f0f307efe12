package storer

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/responder"
)

// checkBroken has a store send broken answers, from which nothing follows for the call.
func checkBroken(t *testing.T, shapes []responder.Shape) {
	for _, shape := range shapes {
		c := newRawClient(t, shape.Text)
		_, err := c.Get(context.Background(), "budgets/one")
		assert.Assert(t, IsErrOutcomeUnknown(err), "%s: %v", shape.Name, err)
		_, err = c.Update(context.Background(), "budgets/one", 3, []byte("value"))
		assert.Assert(t, IsErrOutcomeUnknown(err), "%s: %v", shape.Name, err)
	}
}

// newRawClient returns a client of a store that responds with text.
func newRawClient(t *testing.T, text string) *Client {
	s, err := responder.Start(responder.Config{Respond: func(*http.Request) string { return text }})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return NewClient(ClientConfig{URL: "http://" + s.Address(), Clock: clocker.NewWall()})
}

// Guards against a write that counts as done since the store answered with a status that is none.
func TestAnswersWithBrokenStatusTellNothing(t *testing.T) {
	checkBroken(t, responder.BrokenStatuses("Object-Version: 4\r\n"))
}

func TestUnusualAnswersPass(t *testing.T) {
	for _, shape := range responder.Sound("Object-Version: 4\r\n") {
		if shape.Name == "status 299" { // not a status of the store
			continue
		}
		o, err := newRawClient(t, shape.Text).Get(context.Background(), "budgets/one")
		assert.NilError(t, err, shape.Name)
		assert.Equal(t, string(o.Value), responder.Body, shape.Name)
		assert.Equal(t, o.Version, int64(4), shape.Name)
	}
}

// Guards against a write that counts as done, or a value that is none, since the library believes a field with a blank behind its name.
func TestAnswersWithBrokenFieldsTellNothing(t *testing.T) {
	checkBroken(t, responder.BrokenFields("Object-Version: 4\r\n"))
}
