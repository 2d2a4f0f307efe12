package flooder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/messenger"
)

const (
	// serveFinitePrompt makes a completion end after serveFiniteEvents events of 4 KB.
	serveFinitePrompt = "finite-prompt"
	serveFiniteEvents = 512
	// serveReaders is the number of callers that don't read their answers, and serveReceiveBytes their receive
	// buffer. Their answers take twice serveMemoryMb or more.
	serveReaders      = 120
	serveReceiveBytes = 4 << 10
	// serveStoredBytes is the length of the answer below /stored, a little less than what a claim stores.
	serveStoredBytes = 60 << 10
	// servePeerIncarnation is the incarnation of a host that the test stands in for.
	servePeerIncarnation = "h1-1"
)

// serveUnread returns a client that sends a message and reads the first bytes of the answer only.
func serveUnread(message func() string) func(c net.Conn) error {
	return func(c net.Conn) error {
		if err := c.(*net.TCPConn).SetReadBuffer(serveReceiveBytes); err != nil {
			return err
		}
		if _, err := io.WriteString(c, message()); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 64))
		return err
	}
}

func serveFiniteCompletion(stream bool) string {
	return fmt.Sprintf(`{"model":"draft-1","max_tokens":1000,"stream":%t,"messages":[{"role":"user","content":%q}]}`, stream, serveFinitePrompt)
}

// Guards against completions that are gathered and held whole for callers that do not read them.
func TestServeBoundsCollectedCompletions(t *testing.T) {
	p := startServeProcess(t)
	completion := serveFiniteCompletion(false)
	message := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", serveHead("/v1/chat/completions"), len(completion), completion)
	p.crowd(p.callers, serveReaders, serveUnread(func() string { return message }))
	p.assertBounded()
}

// Guards against streams that are gathered and held whole for callers of HTTP/1.0 that do not read them.
func TestServeBoundsStreamsOfOldCallers(t *testing.T) {
	p := startServeProcess(t)
	completion := serveFiniteCompletion(true)
	message := fmt.Sprintf("POST /v1/chat/completions HTTP/1.0\r\nHost: h\r\nX-Request-Deadline-Ms: 600000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		serveCallerKey, len(completion), completion)
	p.crowd(p.callers, serveReaders, serveUnread(func() string { return message }))
	p.assertBounded()
}

// Guards against stored answers that are read again for each repeated request, for callers that do not read them.
func TestServeBoundsReplayedAnswers(t *testing.T) {
	p := startServeProcess(t)
	message := serveHead("/"+serveClaimed+"/stored") + "Idempotency-Key: replayed\r\nContent-Length: 0\r\n\r\n"
	p.eventually("a call with a key", func() error { return p.readAnswer(message, serveStoredBytes) })
	p.crowd(p.callers, serveReaders, serveUnread(func() string { return message }))
	p.assertBounded()
}

// readAnswer sends a message and reads the whole answer, which has a given length.
func (p *serveProcess) readAnswer(message string, length int64) error {
	c, err := net.Dial("tcp4", p.callers)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(clocker.FromNow(serveIOTimeout)) // fails only if c is closed
	if _, err := io.WriteString(c, message); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n != length) {
		err = fmt.Errorf("status %d, %d bytes", resp.StatusCode, n)
	}
	return err
}

// Guards against answers that another host gives to a forwarded request, held whole for callers that do not read
// them.
func TestServeBoundsForwardedAnswers(t *testing.T) {
	p := startServeProcess(t)
	peer := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(serveAnswerBytes))
		_, _ = w.Write(largeAnswer[:serveAnswerBytes]) // fails if the process has ended
	})}
	l := serveListen(t)
	go func() { _ = peer.Serve(l) }() // ends by Close
	t.Cleanup(func() { _ = peer.Close() })
	client := exchanger.NewClient(exchanger.ClientConfig{RouterKey: serveRouterKey})
	defer client.Close()
	beat := &messenger.Beat{Incarnation: servePeerIncarnation, Host: "h1", AvailabilityZone: "a", ExchangeAddress: "127.0.0.1:1", CallerAddress: l.Addr().String()}
	number := 0
	message := func() string {
		number++
		return fmt.Sprintf("%sIdempotency-Key: ticket.%s.%d.%d.00\r\nContent-Length: 0\r\n\r\n",
			serveHead("/"+serveClaimed+"/large"), servePeerIncarnation, number, p.clock.Now()+clocker.Hour)
	}
	p.eventually("a forwarded call", func() error {
		_, err := client.SendBeat(context.Background(), p.exchange, beat)
		return errors.Join(err, p.readAnswer(message(), serveAnswerBytes))
	})
	forwarded := message()
	p.crowd(p.callers, serveReaders, serveUnread(func() string { return forwarded }))
	_, err := client.SendBeat(context.Background(), p.exchange, beat)
	assert.NilError(t, err)
	p.assertBounded()
}
