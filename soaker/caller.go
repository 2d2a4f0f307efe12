package soaker

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/server"
)

const (
	// callTimeout is when a caller gives up, in milliseconds, later than the deadline
	// that it names.
	callTimeout  = 6 * clocker.Second
	callDeadline = 3 * clocker.Second
	// lookFor is how long a caller looks whether an unused connection was closed, in
	// milliseconds.
	lookFor = 1 * clocker.Millis(1)
)

// caller sends one request at a time and keeps a connection to each router open.
type caller struct {
	*world
	conns map[string]*callerConn
	// rng chooses the routers at which streams are taken up.
	rng *rand.Rand
}

type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

// callUntil sends requests over open connections until ctx ends.
func (w *world) callUntil(ctx context.Context, number int, rng *rand.Rand) {
	c := caller{world: w, conns: map[string]*callerConn{}, rng: rand.New(rand.NewPCG(w.cfg.Seed, takeUpSeries+uint64(number)))}
	defer func() {
		for address := range c.conns {
			c.drop(address)
		}
	}()
	for n := 0; w.cfg.Clock.Sleep(ctx, clocker.Millis(rng.IntN(2*callPause))) == nil; n++ {
		path := []string{"/order/x", "/read/x", "/stream/x", "/once/x", fmt.Sprintf("/version-%d/x", w.newestVersion())}[rng.IntN(5)]
		q := request{id: fmt.Sprintf("%x-%d-%d", w.cfg.Seed, number, n), path: path, account: []string{"one", "two"}[number%2]}
		q = c.call(q, w.anyRouter(rng))
		w.record.ended(q)
		c.takeUp(ctx, q)
	}
}

// call sends one request and returns how it ended.
func (c *caller) call(q request, r *router) (ended request) {
	q.router = r.number
	q.incarnation, q.stopping = r.life()
	q.sentAt = c.cfg.Clock.Now()
	defer func() { ended.endedAt = c.cfg.Clock.Now() }()
	address := r.settings.CallerAddress
	conn, err := c.connect(&q, address)
	if err != nil {
		q.broken = true
		return q
	}
	_ = conn.SetDeadline(clocker.FromNow(callTimeout))
	if err := c.write(conn, q); err != nil {
		q.broken = true
		c.drop(address)
		return q
	}
	a, err := readAnswer(conn.reader)
	q.take(a, err, c.cfg.Dialect.ServerMark, c.cfg.Dialect.RequestID)
	if named, ok := c.cfg.Dialect.RequestLimit(a.header); ok && named.Named {
		q.limitedBy, _, _ = strings.Cut(a.header.Get(c.cfg.Dialect.ServerMark), ".")
	}
	if err != nil || strings.EqualFold(a.header.Get("Connection"), "close") {
		c.drop(address)
	}
	return q
}

// connect returns an open connection to a router. Bytes that came without a request
// are noted in q.
func (c *caller) connect(q *request, address string) (*callerConn, error) {
	if conn, ok := c.conns[address]; ok {
		_ = conn.SetDeadline(clocker.FromNow(lookFor))
		got, err := conn.reader.Peek(1)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return conn, nil
		}
		if len(got) > 0 {
			q.malformed = "bytes behind the answer before it"
		}
		c.drop(address)
	}
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	c.conns[address] = &callerConn{Conn: conn, reader: bufio.NewReader(conn)}
	return c.conns[address], nil
}

func (c *caller) drop(address string) {
	if conn, ok := c.conns[address]; ok {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

func (c *caller) write(conn net.Conn, q request) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+host+q.path, strings.NewReader("body"))
	if err != nil {
		return err
	}
	d := c.cfg.Dialect
	req.Header.Set(d.RequestID, q.id)
	req.Header.Set(d.Timeout, strconv.FormatInt(int64(callDeadline), 10))
	req.Header.Set("Authorization", "Bearer key-"+q.account)
	if q.after > 0 {
		req.Header.Set(d.LastEventID, strconv.Itoa(q.after))
		req.Header.Set(d.TakenUp, q.origin)
	}
	if measured(q.path) {
		req.Header.Set(d.Tokens, fmt.Sprintf("%d,%d", promptTokens, maxOutput))
	}
	return req.Write(conn)
}

// take notes an answer, whole if err is nil.
func (q *request) take(a answer, err error, signature, requestID string) {
	q.status = a.status
	q.broken = err != nil
	if errors.Is(err, errFraming) {
		q.malformed = err.Error()
	}
	signed := a.header.Get(signature)
	q.signed = signed != ""
	q.foreign = q.signed && (a.header.Get(requestID) != q.id || !strings.HasSuffix(signed, "."+q.id))
	body := string(a.body)
	switch {
	case q.status == http.StatusOK && streams(q.path):
		q.readEvents(body)
		q.unconfirmed = q.broken && q.after+len(q.events) == streamEvents
	case q.broken:
		q.unconfirmed = q.status == http.StatusOK && body == server.Body(q.id)
	case q.status == http.StatusOK:
		q.short = len(body) < len(server.Body(q.id)) && strings.HasPrefix(server.Body(q.id), body)
		q.foreign = q.foreign || !q.short && body != server.Body(q.id)
	case q.signed:
		q.foreign = q.foreign || body != "" && body != server.FailureBody(q.status, q.id)
	default:
		q.reason = refusalReason(a.body)
	}
}

var eventForm = regexp.MustCompile(`^id: ([0-9]+)\ndata: (.*) (v[0-9]+)$`)

// beginsEvent reports whether a text is the start of an event as one of the software versions writes it.
func beginsEvent(text string, n int, requestID string) bool {
	return slices.ContainsFunc(softwareVersions, func(version string) bool {
		return strings.HasPrefix(server.Event(n, requestID, version), text)
	})
}

// readEvents takes the body of a stream apart. Only a body that breaks off may end
// within an event.
func (q *request) readEvents(body string) {
	next := q.after + 1
	for body != "" {
		block, rest, whole := strings.Cut(body, "\n\n")
		if !whole && q.broken && beginsEvent(body, next, q.id) {
			return
		}
		form := eventForm.FindStringSubmatch(block)
		if form == nil || !whole {
			q.stray = body
			return
		}
		n, err := strconv.Atoi(form[1])
		q.foreign = q.foreign || err != nil || form[2] != q.id
		q.events = append(q.events, n)
		if !slices.Contains(q.versions, form[3]) {
			q.versions = append(q.versions, form[3])
		}
		next = n + 1
		body = rest
	}
}
