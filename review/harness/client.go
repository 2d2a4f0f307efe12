package main

import (
	"bufio"
	"cowsliphinge/clocker"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, path, key string
	prompt, most  int
	deadline      time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	signed bool
	// complete is true if the answer ended as HTTP/1.1 frames the end of an answer.
	complete bool
	events   int
	reason   string
}

// String describes the answer for the record.
func (a answer) String() string {
	return fmt.Sprintf("status %d, signed %v, complete %v, %d events %s", a.status, a.signed, a.complete, a.events, a.reason)
}

// send sends a request on a connection of its own and reads the answer to its end.
func send(address string, q request, rec *recorder) answer {
	rec.note("client sends %s %s to %s", q.id, q.path, address)
	a := exchange(address, q)
	rec.note("client gets for %s: %s", q.id, a)
	return a
}

func exchange(address string, q request) answer {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{reason: err.Error()}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clocker.FromNow(millis(q.deadline + time.Second)))
	body := "the prompt of " + q.id
	message := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: %s\r\nX-Model: m\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: %x:%d\r\n"+
		"X-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		q.path, q.id, q.prompt, q.most, []byte(q.id), q.prompt, q.deadline.Milliseconds(), q.key, len(body), body)
	if _, err := io.WriteString(c, message); err != nil {
		return answer{reason: err.Error()}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return answer{reason: err.Error()}
	}
	content, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, signed: resp.Header.Get("X-Server-Signature") != "", events: strings.Count(string(content), "\n\n")}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	a.complete = err == nil && framed
	if err != nil {
		a.reason = err.Error()
	}
	if a.status != http.StatusOK {
		a.reason = string(content)
	}
	return a
}
