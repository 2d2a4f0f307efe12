package main

import (
	"bufio"
	"context"
	"cowsliphinge/clocker"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client on a connection of its own.
type request struct {
	id      string
	path    string
	method  string
	key     string
	limit   time.Duration
	headers map[string]string
	body    []byte
}

// answer is what the client got.
type answer struct {
	// status is 0 if the connection ended without an answer.
	status int
	header http.Header
	body   string
	// whole is true if the body is complete as the protocol has it.
	whole bool
	err   error
}

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer (%v)", a.err)
	case !a.whole:
		return fmt.Sprintf("%d, cut after %d bytes (%v)", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d, whole, %d bytes", a.status, len(a.body))
}

// send sends a request on a new connection and waits for the answer, at most for the limit.
func (q request) send(address string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(clocker.FromNow(millis(q.limit)))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.id, q.limit.Milliseconds())
	if q.key != "" {
		head += "Authorization: Bearer " + q.key + "\r\n"
	}
	for name, value := range q.headers {
		head += name + ": " + value + "\r\n"
	}
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err := conn.Write(append([]byte(head+"\r\n"), q.body...)); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(body), whole: err == nil, err: err}
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return a
}
