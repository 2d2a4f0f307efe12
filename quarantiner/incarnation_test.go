package quarantiner

import (
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// Guards against evidence that is cleared by the crash itself: the process of a server died in the middle of an
// answer that ends with its connection, and the next incarnation listened so soon that no host saw the crash.
func TestUnframedAnswerOfAnIncarnationThatEndedClearsNothing(t *testing.T) {
	q := New()
	deadly := NewRequest("one", Content{Method: "POST", Target: "/x", Body: []byte("deadly")}, []string{"deadly", "own"})
	for i, id := range []string{"a", "b", "c"} {
		q.Crashed(Server{ID: id, StartedAt: 1}.Hash(), deadly, clocker.Second*clocker.Millis(i))
	}
	at := 3 * clocker.Second
	_, refused := q.Refused(deadly, at)
	assert.Assert(t, refused)
	fourth, fifth := Server{ID: "d", StartedAt: 1}.Hash(), Server{ID: "e", StartedAt: 1}.Hash()
	q.AnsweredUnframed(fourth, deadly, at)
	q.Ended(fourth)
	_, refused = q.Refused(deadly, at+unframedDelay)
	assert.Assert(t, refused, "the server did not live on")
	q.AnsweredUnframed(fifth, deadly, at+unframedDelay)
	q.Ended(fourth)
	_, refused = q.Refused(deadly, at+2*unframedDelay)
	assert.Assert(t, !refused, "the server lived on")
}
