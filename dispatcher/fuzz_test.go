package dispatcher_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/dispatcher"
)

// fixedAnswer is a connector that gives the same answer to every call.
type fixedAnswer connector.Answer

func (a fixedAnswer) Call(string, connector.Request) (*connector.Answer, error) {
	answer := connector.Answer(a)
	return &answer, nil
}

func (fixedAnswer) Stream(string, connector.Request) (*connector.Answer, error) {
	return nil, connector.ErrNotSent{}
}

// FuzzCancel checks that Cancel handles any answer of a model engine to the
// cancellation of a stream.
func FuzzCancel(f *testing.F) {
	f.Add(200, []byte(`{"PromptTokens":7,"OutputTokens":-1}`))
	f.Add(200, []byte(`{"PromptTokens":1e30}`))
	f.Add(200, []byte(`null`))
	f.Add(404, []byte(`{}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		_, _, ok := dispatcher.Canceller{Connector: fixedAnswer{Status: status, Body: body}, Clock: clocker.NewManual(0)}.Cancel("a", "r")
		assert.Assert(t, !ok || status == 200)
	})
}
