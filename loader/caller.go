package loader

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"syscall"

	"github.com/valyala/fasthttp"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
)

// silenceBound is how long a caller waits for the next byte, in milliseconds.
const silenceBound = 60 * clocker.Second

// caller sends arrivals to hosts.
type caller struct {
	clock    *clocker.Clock
	http     fasthttp.Client
	measures *measures
}

func newCaller(clock *clocker.Clock, m *measures) *caller {
	return &caller{
		clock:    clock,
		measures: m,
		http: fasthttp.Client{
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: 1,
			MaxConnsPerHost:           maxConnections,
			ReadTimeout:               silenceBound.Duration(),
		},
	}
}

// maxConnections bounds the connections to one host.
const maxConnections = 4096

// send makes one attempt and returns what the caller saw. The start is that of
// the whole load.
func (c *caller) send(start moment, a Arrival) checker.Request {
	r := checker.Request{
		ClientAccount:  a.Account.Name,
		Budget:         a.Account.Budget,
		Service:        a.Kind.Service,
		IdempotencyKey: a.Key,
		NonIdempotent:  a.Kind.NonIdempotent,
		Address:        a.Caller,
		IntendedAt:     start.millis + a.At,
		SentAt:         c.clock.Now(),
		WorstCase:      a.WorstCase,
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fillRequest(req, a)
	if err := c.http.Do(req, resp); err != nil {
		r.Outcome = checker.Broken
		r.Code = "NoAnswer"
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.Code = checker.CodeNotConnected
		}
	} else {
		c.read(&r, start, a, resp)
	}
	r.FinishedAt = c.clock.Now()
	return r
}

func fillRequest(req *fasthttp.Request, a Arrival) {
	req.Header.SetMethod(http.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+a.Account.Key)
	if a.RequestID != "" {
		req.Header.Set("X-Request-Id", a.RequestID)
	}
	if a.Key != "" {
		req.Header.Set("Idempotency-Key", a.Key)
	}
	if a.Kind.DeadlineMs > 0 {
		req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(int64(a.Kind.DeadlineMs), 10))
	}
	path := "/v1/chat/completions"
	if a.Kind.Model == "" {
		path = "/" + a.Kind.Service + a.Kind.Path
	}
	req.SetRequestURI("http://" + a.Caller + path)
	req.SetBody(a.Body)
}

func (c *caller) read(r *checker.Request, start moment, a Arrival, resp *fasthttp.Response) {
	r.RequestID = string(resp.Header.Peek("X-Request-Id"))
	defer func() { _ = resp.CloseBodyStream() }()
	if resp.StatusCode() != http.StatusOK {
		c.readRefusal(r, resp)
		return
	}
	if a.Kind.Model != "" && a.Kind.Stream {
		c.readStream(r, start.micros+int64(a.At)*microsPerMilli, a, resp)
		return
	}
	body, err := readBody(resp)
	if err != nil || len(body) < resp.Header.ContentLength() {
		r.Outcome = checker.Broken
		r.Code = "Truncated"
		return
	}
	r.Outcome = checker.Answered
	if a.Kind.Model == "" {
		fillCall(r, a, body)
		return
	}
	var answer received
	if answer.readWhole(body) != nil {
		return
	}
	answer.fill(r, a)
}

func readBody(resp *fasthttp.Response) ([]byte, error) {
	if resp.BodyStream() == nil {
		return resp.Body(), nil
	}
	return io.ReadAll(resp.BodyStream())
}

func (c *caller) readRefusal(r *checker.Request, resp *fasthttp.Response) {
	body, _ := readBody(resp)
	var refusal Refusal
	if json.Unmarshal(body, &refusal) != nil || refusal.Code == "" {
		refusal.Code = "Status" + strconv.Itoa(resp.StatusCode())
	}
	r.Outcome = refusal.outcome()
	r.Code = refusal.Code
}

func (c *caller) readStream(r *checker.Request, intended int64, a Arrival, resp *fasthttp.Response) {
	var answer received
	var last int64
	err := answer.readStream(resp.BodyStream(), func() {
		now := c.clock.NowMicros()
		if last == 0 {
			r.FirstTokenAt = c.clock.Now()
			c.measures.firstToken(now - intended)
		} else {
			c.measures.betweenTokens(now - last)
		}
		last = now
	})
	answer.fill(r, a)
	switch {
	case answer.refusal != nil:
		r.Outcome = answer.refusal.outcome()
		r.Code = answer.refusal.Code
	case err != nil || !answer.done:
		r.Outcome = checker.Broken
		r.Code = "Truncated"
	default:
		r.Outcome = checker.Answered
	}
}
