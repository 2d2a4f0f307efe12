package carrier

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Guards against a request that reaches the incarnation before: the server started again under its ID at
// another address, and the old process, which serves on for a while and has the ID too, got further requests
// on idle connections.
func TestIdleConnectionIsNotReusedForAnotherAddressOfTheServer(t *testing.T) {
	answer := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
	}
	before, _ := newServer(t, answer("before"))
	now, conns := newServer(t, answer("now"))
	c := newCarrier(clocker.NewManual(1000))
	_, err := send(t, c, Target{ID: "one", Address: before}, clocker.Minute)
	assert.NilError(t, err)
	for range 2 {
		body, err := send(t, c, Target{ID: "one", Address: now}, clocker.Minute)
		assert.NilError(t, err)
		assert.Equal(t, body, "now")
	}
	assert.Equal(t, conns.Load(), int64(1), "connections to the new address are reused")
}
