package relayer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/matcher"
	"cowsliphinge/reserver"
)

func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	b := newBackend(t, respond(201, "made", "X-Other: o", "Keep-Alive: timeout=5"))
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
	got := f.call(t, "POST", "/r/x%2Fy?q=1;2", strings.Repeat("b", 9000), "X-Mine", "m", "X-Account", "thief", "X-Hold", "h", "X-Expect", "other", "X-Time", "900")
	assert.Equal(t, got.status, 201)
	assert.Equal(t, got.body, "made")
	assert.Equal(t, got.header.Get("X-Sign"), "s")
	assert.Equal(t, got.header.Get("X-Other"), "o")
	assert.Equal(t, got.header.Get("Keep-Alive"), "")
	assert.Equal(t, got.header.Get("Content-Type"), "")
	req := b.requests[0]
	assert.Equal(t, req.RequestURI, "/r/x%2Fy?q=1;2")
	assert.Equal(t, req.Host, "shop.example")
	assert.Equal(t, b.bodies[0], strings.Repeat("b", 9000))
	assert.Equal(t, req.Header.Get("X-Mine"), "m")
	assert.Equal(t, req.Header.Get("X-Account"), "masons")
	assert.Equal(t, req.Header.Get("Authorization"), "")
	assert.Equal(t, req.Header.Get("X-Hold"), "")
	assert.Equal(t, req.Header.Get("X-Expect"), "s0")
	assert.Assert(t, len(req.Header.Get("X-Time")) == 3 && req.Header.Get("X-Time") <= "900", req.Header.Get("X-Time"))
}

// Guards against a response to HEAD whose Content-Length differs from the server's.
func TestHeadResponseKeepsContentLength(t *testing.T) {
	head := respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Length: 42\r\n\r\n")
	got := newFixture(t, matcher.Route{Kind: matcher.Safe}, newBackend(t, head)).call(t, "HEAD", "/r/", "")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.header.Get("Content-Length"), "42")
}

// Guards against extreme numbers in callers' headers: a huge timeout must not overflow and
// put the deadline into the past.
func TestCallerHeaderValuesAreBounded(t *testing.T) {
	b := newBackend(t, respond(200, "x"))
	f := newFixture(t, matcher.Route{Kind: matcher.Safe}, b)
	assert.Equal(t, f.call(t, "GET", "/r/", "", "X-Time", "9223372036854775807").status, 200)
	assert.DeepEqual(t, parsePromptParts("a:-5,b:7"), []chooser.PromptPart{{ID: "b", Tokens: 7}})
}

// Guards against requests that a planned stop aborts: the load balancer still sends new
// connections while all hosts of an availability zone stop in turn.
func TestRequestThatOutlastsAPlannedStopIsRefused(t *testing.T) {
	for _, c := range []struct {
		name      string
		route     matcher.Route
		untilStop clocker.Millis
		status    int
	}{
		{"stream", matcher.Route{Kind: matcher.Stream}, 2000, 503},
		{"stream within its time", matcher.Route{Kind: matcher.Stream, Timeout: 1000}, 2000, 200},
		{"short request", matcher.Route{Kind: matcher.Safe, TargetLatency: 150}, 2000, 200},
		{"short request near the end", matcher.Route{Kind: matcher.Safe, TargetLatency: 150}, 200, 503},
		{"order", matcher.Route{Kind: matcher.Unsafe, TargetLatency: 150, Timeout: 1000}, 2000, 200},
		{"order that may take longer", matcher.Route{Kind: matcher.Unsafe, TargetLatency: 150}, 2000, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBackend(t, streamEvents(1, 3, true))
			f := newFixture(t, c.route, b)
			f.stopDeadline = f.servers.clock.Now() + c.untilStop
			got := f.call(t, "POST", "/r/", "p")
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, b.requestCount() == 0, c.status == 503)
			assert.Equal(t, got.header.Get("Retry-After") != "", c.status == 503)
		})
	}
}

// Guards against an order that is cut without an answer: it comes late in the grace period of a planned
// stop and its server takes all the time that it has. At each moment it is refused before it is sent, or its
// time ends before the grace period.
func TestOrderLateInAPlannedStopIsRefusedOrEndsInTime(t *testing.T) {
	const timeout = 600
	for untilStop := clocker.Millis(50); untilStop < 2*timeout; untilStop += 100 {
		b := newBackend(t, noResponse)
		f := newFixture(t, matcher.Route{Kind: matcher.Unsafe, TargetLatency: 30, Timeout: timeout}, b)
		f.stopDeadline = f.servers.clock.Now() + untilStop
		got := f.call(t, "POST", "/r/", "p")
		assert.Equal(t, got.status == http.StatusServiceUnavailable, untilStop <= timeout, "%d ms before the end: %d", untilStop, got.status)
		assert.Equal(t, b.requestCount() == 0, untilStop <= timeout, "%d ms before the end", untilStop)
	}
}

// Guards against requests that a planned stop cuts without an answer: those that were taken before its
// end was known get one when it is reached. An order may have run.
func TestRequestsInFlightAreAnsweredAtTheEndOfAPlannedStop(t *testing.T) {
	for _, kind := range []matcher.Kind{matcher.Safe, matcher.Unsafe} {
		received := make(chan struct{}, 10)
		b := newBackend(t, func(io.Writer, *http.Request) { received <- struct{}{} })
		f := newFixture(t, matcher.Route{Kind: kind, Timeout: clocker.Minute}, b)
		go func() {
			<-received
			f.relayer.EndAll()
		}()
		got := f.call(t, "POST", "/r/", "p")
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
		assert.Assert(t, !got.truncated)
	}
}

// Guards against an answer that looks whole though its server stopped in the middle of the head and
// closed: cut at each byte, with a length, in chunks, and without either.
func TestHeadCutShortIsNoAnswer(t *testing.T) {
	for _, framing := range []string{"Content-Length: 0\r\n", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n", ""} {
		head := "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Sign: s\r\n" + framing + "\r\n"
		for _, route := range []matcher.Route{{Kind: matcher.Safe}, {Kind: matcher.Unsafe}, {Kind: matcher.Stream}} {
			var handlers []handler
			for end := range len(head) {
				handlers = append(handlers, thenClose(respondRaw(strings.ReplaceAll(head[:end], "%", "%%"))))
			}
			f := newFixture(t, route, newBackend(t, handlers...))
			for end := range len(head) {
				got := f.call(t, "POST", "/r/", "p")
				assert.Assert(t, got.status/100 != 2, "%q cut at byte %d", head, end)
				<-f.logLines
			}
		}
	}
}

func TestRefusalsBeforeSending(t *testing.T) {
	b := newBackend(t, respond(200, "x"))
	f := newFixture(t, matcher.Route{}, b)
	assert.Equal(t, f.call(t, "GET", "/none/", "").status, 404)
	assert.Equal(t, f.call(t, "GET", "/r/", "", "Authorization", "Bearer wrong").status, 401)
	assert.Equal(t, f.call(t, "POST", "/r/", strings.Repeat("x", 1<<16+1)).status, 413)
	f.table = nil
	got := f.call(t, "GET", "/r/", "")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, b.requestCount(), 0)
}

func TestPublicRouteNeedsNoKeyAndSendsNoAccount(t *testing.T) {
	b := newBackend(t, respond(200, "x"))
	f := newFixture(t, matcher.Route{}, b)
	assert.Equal(t, f.call(t, "GET", "/open/", "", "Authorization", "Bearer wrong", "X-Account", "thief").status, 200)
	assert.Equal(t, b.requests[0].Header.Get("X-Account"), "")
	assert.Equal(t, b.requests[0].Header.Get("Authorization"), "")
}

// unknownOutcomes are the failures after which a server may have run the request.
var unknownOutcomes = map[string]handler{
	"closed without a response":   thenClose(nil),
	"truncated body":              thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Length: 10\r\n\r\nabc")),
	"not HTTP":                    thenClose(respondRaw("garbage %s\r\n\r\n")),
	"no signature":                respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 1\r\n\r\na"),
	"encoded body":                respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Encoding: br\r\nContent-Length: 1\r\n\r\na"),
	"response to another request": thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: not-%s\r\nX-Sign: s\r\nContent-Length: 1\r\n\r\na")),
}

func TestUnsafeRequestWithUnknownOutcomeIsNotRetried(t *testing.T) {
	for name, failingHandler := range unknownOutcomes {
		t.Run(name, func(t *testing.T) {
			one, two := newBackend(t, failingHandler), newBackend(t, failingHandler)
			f := newFixture(t, matcher.Route{Kind: matcher.Unsafe, MaxAttempts: 3}, one, two)
			assert.Equal(t, f.call(t, "POST", "/r/", "order").status, 502)
			assert.Equal(t, one.requestCount()+two.requestCount(), 1)
		})
	}
}

func TestSafeRequestIsRetriedOnAnotherServer(t *testing.T) {
	for name, failingHandler := range unknownOutcomes {
		t.Run(name, func(t *testing.T) {
			one, two := newBackend(t, failingHandler), newBackend(t, respond(200, "whole"))
			f := newFixture(t, matcher.Route{Kind: matcher.Safe, MaxAttempts: 2}, one, two)
			got := f.call(t, "GET", "/r/", "")
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, "whole")
		})
	}
}

func TestSafeRequestRetriesAreBoundedByAttemptsAndRetryBudget(t *testing.T) {
	one, two, three := newBackend(t, thenClose(nil)), newBackend(t, thenClose(nil)), newBackend(t, thenClose(nil))
	f := newFixture(t, matcher.Route{Kind: matcher.Safe, MaxAttempts: 2}, one, two, three)
	assert.Equal(t, f.call(t, "GET", "/r/", "").status, 502)
	assert.Equal(t, one.requestCount()+two.requestCount()+three.requestCount(), 2)
	f.relayer.cfg.Retries = fakeRetries{deny: true}
	assert.Equal(t, f.call(t, "GET", "/r/", "").status, 502)
	assert.Equal(t, one.requestCount()+two.requestCount()+three.requestCount(), 3)
}

func TestServerErrorIsForwardedAfterARetry(t *testing.T) {
	one, two := newBackend(t, respond(500, "bad")), newBackend(t, respond(500, "bad"))
	f := newFixture(t, matcher.Route{Kind: matcher.Safe, MaxAttempts: 2}, one, two)
	got := f.call(t, "GET", "/r/", "")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.header.Get("X-Sign"), "s")
	assert.Equal(t, one.requestCount()+two.requestCount(), 2)
}

// Covers servers of a service that all fail some requests until the retry budget is
// used up. Callers still get the servers' error responses.
func TestServerErrorIsForwardedWhenNoRetryIsAllowed(t *testing.T) {
	one, two := newBackend(t, respond(500, "bad")), newBackend(t, respond(500, "bad"))
	f := newFixture(t, matcher.Route{Kind: matcher.Safe, MaxAttempts: 2}, one, two)
	allowCalls := 0
	f.relayer.cfg.Retries = retryFunc(func() bool {
		allowCalls++
		return allowCalls == 1 // the retry budget allows one retry
	})
	for range 2 {
		got := f.call(t, "GET", "/r/", "")
		assert.Assert(t, !got.truncated)
		assert.Equal(t, got.status, 500)
		assert.Equal(t, got.body, "bad")
	}
	assert.Equal(t, allowCalls, 2)
	assert.Equal(t, one.requestCount()+two.requestCount(), 3)
}

type retryFunc func() bool

func (retryFunc) Attempted(string)            {}
func (f retryFunc) Allow(string, string) bool { return f() }

func TestServerRefusalIsReportedAsNotRun(t *testing.T) {
	one, two := newBackend(t, respond(503, "full", "X-Not-Run: 1")), newBackend(t, respond(421, ""))
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe, MaxAttempts: 2}, one, two)
	got := f.call(t, "POST", "/r/", "order")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, got.header.Get("X-Sign"), "")
}

func TestUnreachableServerIsReplacedByAnother(t *testing.T) {
	gone, live := newBackend(t, noResponse), newBackend(t, respond(200, "x"))
	assert.NilError(t, gone.listener.Close())
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, gone, live)
	for range 4 {
		assert.Equal(t, f.call(t, "POST", "/r/", "order").status, 200)
	}
	assert.Equal(t, live.requestCount(), 4)
}

func TestLateResponseToAnEarlierRequestIsSkipped(t *testing.T) {
	b := newBackend(t,
		respond(200, "first"),
		func(w io.Writer, req *http.Request) {
			respondRaw("HTTP/1.1 200 OK\r\nX-Id: earlier-%s\r\nX-Sign: s\r\nContent-Length: 4\r\n\r\nlate")(w, req)
			respond(200, "second")(w, req)
		})
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
	assert.Equal(t, f.call(t, "POST", "/r/", "1").body, "first")
	assert.Equal(t, f.call(t, "POST", "/r/", "2").body, "second")
}

func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	b := newBackend(t, func(w io.Writer, req *http.Request) {
		respond(200, "x")(w, req)
		respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Length: 5\r\n\r\nextra")(w, req)
	})
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
	for range 5 {
		got := f.call(t, "POST", "/r/", "order")
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "x")
	}
}

func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	b := newBackend(t, thenClose(respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\n\r\nall")))
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
	got := f.call(t, "POST", "/r/", "order")
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "all")
}

func TestRouteTimeoutEndsTheRequest(t *testing.T) {
	b := newBackend(t, noResponse)
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe, Timeout: 50}, b)
	assert.Equal(t, f.call(t, "POST", "/r/", "order", "X-Time", "60000").status, 504)
	<-b.closed
}

func TestCallerDisconnectAbortsTheAttempt(t *testing.T) {
	b := newBackend(t, noResponse)
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe, Timeout: clocker.Minute}, b)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for b.requestCount() == 0 { // wait until the server has the request
			clocker.NewWall().Sleep(ctx, 1)
		}
		cancel()
	}()
	assert.Assert(t, f.callWith(ctx, t, "POST", "/r/", "order", "X-Time", "60000").truncated)
	<-b.closed
	for f.relayer.InFlight() > 0 {
		clocker.NewWall().Sleep(context.Background(), 1)
	}
	assert.DeepEqual(t, f.servers.outcomes, []chooser.Outcome{chooser.NoFailure})
}

func TestBudgetRefusals(t *testing.T) {
	b := newBackend(t, respond(200, "x"))
	f := newFixture(t, matcher.Route{}, b)
	f.budgets.err = reserver.ErrBudgetExhausted{}
	assert.Equal(t, f.call(t, "POST", "/r/", "p", "X-Tokens", "10,5").status, 402)
	f.budgets.err = reserver.ErrBudgetUnreachable{}
	got := f.call(t, "POST", "/r/", "p", "X-Tokens", "10,5")
	assert.Equal(t, got.status, 503)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Equal(t, b.requestCount(), 0)
}

// Guards against retries within a second of a refusal for lack of tokens, while none are expected so soon.
func TestBudgetRefusalTellsWhenTokensAreExpected(t *testing.T) {
	b := newBackend(t, respond(200, "x"))
	f := newFixture(t, matcher.Route{}, b)
	f.budgets.err = reserver.ErrBudgetUnreachable{ExpectedIn: 1200}
	got := f.call(t, "POST", "/r/", "p", "X-Tokens", "10,5")
	assert.Equal(t, got.status, 503)
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 1.5 && seconds < 2.3, "%v", seconds) // at most a third of the time that the caller waits
	assert.Equal(t, b.requestCount(), 0)
}

func TestRequestThatDidNotRunIsNotCharged(t *testing.T) {
	b := newBackend(t, respond(503, "", "X-Not-Run: 1"))
	f := newFixture(t, matcher.Route{}, b)
	assert.Equal(t, f.call(t, "POST", "/r/", "p", "X-Tokens", "10,5").status, 503)
	assert.Equal(t, <-f.budgets.settled, int64(0))
	assert.Equal(t, f.budgets.reserved, int64(15))
}

// A response longer than the buffer is forwarded completely.
func TestLongResponseIsForwardedCompletely(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", maxBufferedBytes/8)
	b := newBackend(t, respond(200, long), respond(200, long[:maxBufferedBytes]))
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
	for _, want := range []string{long, long[:maxBufferedBytes]} {
		got := f.call(t, "POST", "/r/", "order")
		assert.Assert(t, !got.truncated)
		assert.Equal(t, got.body, want)
	}
}

// An endless body is truncated at the size limit: the caller's response is aborted and
// the connection to the server closed.
func TestEndlessBodyIsTruncated(t *testing.T) {
	b := newBackend(t, func(w io.Writer, req *http.Request) {
		respondRaw("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n")(w, req)
		var err error
		for err == nil {
			_, err = io.WriteString(w, "1000\r\n"+strings.Repeat("b", 1<<12)+"\r\n")
		}
	})
	f := newFixture(t, matcher.Route{Kind: matcher.Unsafe}, b)
	got := f.call(t, "POST", "/r/", "order", "X-Time", "60000")
	assert.Assert(t, got.truncated)
	assert.Assert(t, len(got.body) <= maxResponseBytes)
	<-b.closed
}

// A server wrote an earlier refusal once more on a kept connection, and the next caller was told that its
// request had not run.
func TestRepeatedRefusalOfAnEarlierRequestIsSkipped(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nX-Id: id-1\r\nX-Sign: s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const withoutID = "HTTP/1.1 503 X\r\nX-Sign: s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name   string
		second handler
		status int
	}{
		{"before the answer", func(w io.Writer, req *http.Request) {
			_, _ = io.WriteString(w, refusal)
			respond(200, "ran")(w, req)
		}, http.StatusOK},
		{"twice before the answer", func(w io.Writer, req *http.Request) {
			_, _ = io.WriteString(w, refusal+refusal)
			respond(200, "ran")(w, req)
		}, http.StatusOK},
		{"in place of the answer", thenClose(func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, refusal) }), http.StatusBadGateway},
		{"without its ID", thenClose(func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, withoutID) }), http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, first := range []handler{respond(503, "", "X-Not-Run: 1"), respond(200, "kept")} {
				b := newBackend(t, first, respond(200, "kept"), c.second)
				f := newFixture(t, matcher.Route{Kind: matcher.Unsafe, MaxAttempts: 3}, b)
				f.call(t, "POST", "/r/", "1")
				assert.Equal(t, f.call(t, "POST", "/r/", "2", "X-Id", "id-2").body, "kept")
				assert.Equal(t, f.call(t, "POST", "/r/", "3", "X-Id", "id-3").status, c.status)
				assert.Equal(t, b.requestCount(), 3)
			}
		})
	}
}
