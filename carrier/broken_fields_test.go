package carrier

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/standin/responder"
	"cowsliphinge/verifier"
)

// Guards against broken responses that callers get: net/http keeps fields with a blank in their name, and ignores them
// as framing.
func TestResponsesWithBrokenFieldsFail(t *testing.T) {
	checkBroken(t, responder.BrokenFields("X-Id: 1\r\n"))
}

// Guards against another error, which is not counted: a parser reports one for the part of a line that has arrived.
func TestBrokenResponsesInSmallPartsAreReported(t *testing.T) {
	for _, shape := range slices.Concat(responder.BrokenStatuses("X-Id: 1\r\n"), responder.BrokenFields("X-Id: 1\r\n")) {
		client, server := net.Pipe()
		go func() {
			for _, b := range []byte(shape.Text) {
				if _, err := server.Write([]byte{b}); err != nil {
					break
				}
			}
			_ = server.Close()
		}()
		cn := newConn(client, noopTraffic{})
		cn.addRequestID("1")
		resp, err := newCarrier(clocker.NewWall()).readResponse(cn, Request{ID: "1", Method: "POST"})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			err = cn.cause(err)
		}
		assert.Assert(t, verifier.IsErrBrokenResponse(err), "%s: %v", shape.Name, err)
		_ = client.Close()
	}
}

// Guards against an incarnation that is believed for a broken answer: the server would be taken for one that has restarted.
func TestBrokenAnswerTellsNoIncarnation(t *testing.T) {
	shapes := slices.Concat(responder.BrokenStatuses(""), responder.BrokenFields(""))
	for _, shape := range append(shapes, responder.Sound("")[0]) {
		t.Run(shape.Name, func(t *testing.T) {
			text := strings.ReplaceAll(shape.Text, responder.Body, "0009")
			s, err := responder.Start(responder.Config{Respond: func(r *http.Request) string {
				if r.URL.Path == identityPath {
					return text
				}
				return usualResponse
			}})
			assert.NilError(t, err)
			t.Cleanup(s.Close)
			restarted := false
			c := newIdentityCarrier(func(Target, clocker.Millis) { restarted = true })
			target := Target{ID: "one", Address: s.Address(), StartedAt: 7, Identifies: true}
			_, err = exchange(c, target, "first")
			if shape.Name == "usual" {
				assert.NilError(t, err)
				assert.Assert(t, restarted)
				return
			}
			assert.Assert(t, connector.IsErrNotSent(err), "%v", err)
			assert.Assert(t, !restarted)
			assert.Assert(t, !c.Ended(t.Context(), target, clocker.Second))
		})
	}
}
