package relayer

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/matcher"
	"cowsliphinge/standin/responder"
)

const responseFields = "X-Id: id-1\r\nX-Sign: s\r\n"

func respondText(text string) handler {
	return func(w io.Writer, _ *http.Request) {
		_, _ = io.WriteString(w, text)
	}
}

// checkBroken has servers of each kind of route send broken responses. No caller may get one: a request that must not be
// repeated ends with an unknown outcome, and another server responds to one that may be.
func checkBroken(t *testing.T, shapes []responder.Shape) {
	for _, shape := range shapes {
		t.Run(shape.Name, func(t *testing.T) {
			for _, last := range []handler{respondText(shape.Text), thenClose(respondText(shape.Text))} {
				for _, kind := range []matcher.Kind{matcher.Unsafe, matcher.Stream} {
					one, two := newBackend(t, last), newBackend(t, last)
					f := newFixture(t, matcher.Route{Kind: kind, MaxAttempts: 3}, one, two)
					got := f.call(t, "POST", "/r/", "order")
					assert.Equal(t, got.status, http.StatusBadGateway, "kind %v: %+v", kind, got)
					assert.Equal(t, got.header.Get("X-Sign"), "")
					assert.Equal(t, one.requestCount()+two.requestCount(), 1)
				}
				one, two := newBackend(t, last), newBackend(t, respond(200, "whole"))
				f := newFixture(t, matcher.Route{Kind: matcher.Safe, MaxAttempts: 2}, one, two)
				got := f.call(t, "GET", "/r/", "")
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, "whole")
			}
		})
	}
}

// Guards against a status that no response has and that a caller gets, or that hides one.
func TestResponsesWithBrokenStatusReachNoCaller(t *testing.T) {
	checkBroken(t, responder.BrokenStatuses(responseFields))
}

// Guards against a body that is not the server's, and against lines that no field has: net/http keeps a name with a blank
// and ignores it as framing.
func TestResponsesWithBrokenFieldsReachNoCaller(t *testing.T) {
	checkBroken(t, responder.BrokenFields(responseFields))
}

// Guards against a refusal that is believed for a broken response: the request may have run.
func TestBrokenResponseIsNoProofThatTheRequestDidNotRun(t *testing.T) {
	for name, text := range map[string]string{
		"version":          "HTTP/9.9 503 Full\r\nX-Not-Run: 1\r\n" + responseFields + "Retry-After: 9\r\nContent-Length: 0\r\n\r\n",
		"status":           "HTTP/1.1 000 Full\r\nX-Not-Run: 1\r\n" + responseFields + "Content-Length: 0\r\n\r\n",
		"taken for 421":    "HTTP/1.1 099 No\r\n" + responseFields + "\r\nHTTP/1.1 421 Misdirected\r\n" + responseFields + "Content-Length: 0\r\n\r\n",
		"blank in a name":  "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + responseFields + "Name : value\r\nContent-Length: 0\r\n\r\n",
		"only the mark":    "HTTP/1.1 503 Full\r\nX-Not-Run : 1\r\n" + responseFields + "Content-Length: 0\r\n\r\n",
		"421":              "HTTP/1.1 421 Misdirected\r\n" + responseFields + "Name : value\r\nContent-Length: 0\r\n\r\n",
		"chunks of 1.0":    "HTTP/1.0 503 Full\r\nX-Not-Run: 1\r\n" + responseFields + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"interim response": "HTTP/1.1 103 Early Hints\r\nContent-Length: 90\r\n\r\nHTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n" + responseFields + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newBackend(t, respondText(text)), newBackend(t, respondText(text))
			f := newFixture(t, matcher.Route{Kind: matcher.Unsafe, MaxAttempts: 3}, one, two)
			got := f.call(t, "POST", "/r/", "order")
			assert.Equal(t, got.status, http.StatusBadGateway)
			assert.Equal(t, got.header.Get("Retry-After"), "")
			assert.Equal(t, one.requestCount()+two.requestCount(), 1)
		})
	}
}

// Unusual responses that are valid are passed on.
func TestUnusualResponsesReachTheCaller(t *testing.T) {
	for _, shape := range responder.Sound(responseFields) {
		f := newFixture(t, matcher.Route{Kind: matcher.Unsafe, MaxAttempts: 1}, newBackend(t, respondText(shape.Text)))
		got := f.call(t, "POST", "/r/", "order")
		assert.Equal(t, got.status/100, 2, shape.Name)
		assert.Equal(t, got.body, responder.Body, shape.Name)
		assert.Assert(t, !got.truncated && strings.Contains(got.header.Get("X-Sign"), "s"), shape.Name)
	}
}
