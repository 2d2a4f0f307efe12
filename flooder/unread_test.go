package flooder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"cowsliphinge/clocker"
)

const (
	// unreadStall is the CallerStallMs of the processes: far longer than a test waits, so that only the want
	// of memory ends a response.
	unreadStall = 10 * clocker.Minute
	// unreadAttempts is how often a client asks again after a refusal, so that the budget is full in the end.
	unreadAttempts = 20
	// unreadDescriptors bounds the descriptors: those of connections that ended may be still open.
	unreadDescriptors = 3*readers + 64
	// eventClients ask for streams on which the server sends an event without an end. The streams alone fit the
	// memory budget, their events together take three quarters of floodMemoryMb if each is held once.
	eventClients     = 400
	eventDescriptors = 2*eventClients + 64
)

var errRefused = errors.New("all requests were refused")

// Complete requests whose responses nobody reads fill the memory budget: ordinary callers are refused until
// CallerStallMs has passed, unless such responses end earlier for want of memory.
func TestUnreadResponsesGiveWayToOrdinaryCallers(t *testing.T) {
	for _, path := range []string{"/large/x", "/stream/x"} {
		t.Run(strings.Trim(path, "/x"), func(t *testing.T) {
			p := startProcess(t, processConfig{memoryMb: floodMemoryMb, maxBodyBytes: floodBodyBytes, callerStall: unreadStall})
			p.crowd(readers, func(c net.Conn) error { return p.askUnread(c, path) })
			p.assertBounded(unreadDescriptors)
		})
	}
}

// askUnread sends a request until its answer has begun, and reads no more than the status of it.
func (p *process) askUnread(c net.Conn, path string) error {
	status := make([]byte, len("HTTP/1.1 200"))
	for range unreadAttempts {
		if err := c.(*net.TCPConn).SetReadBuffer(receiveBytes); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c, "%sContent-Length: 0\r\n\r\n", p.requestHead(path))
		if err == nil {
			_, err = io.ReadFull(c, status)
		}
		if err == nil && bytes.HasSuffix(status, []byte("200")) {
			return nil
		}
		_ = c.Close() // it may be closed
		if c, err = p.dial(); err != nil {
			return err
		}
	}
	return errRefused
}

// An event that a server does not end is held until it is complete, on each open stream.
func TestEventsWithoutEndStayWithinMemory(t *testing.T) {
	p := startFloodProcess(t)
	p.crowd(eventClients, func(c net.Conn) error {
		if _, err := fmt.Fprintf(c, "%sContent-Length: 0\r\n\r\n", p.requestHead("/event/x")); err != nil {
			return err
		}
		_, err := c.Read(make([]byte, 1)) // the answer has begun, or the request is refused
		return err
	})
	p.awaitEvents()
	p.assertBounded(eventDescriptors)
}

// awaitEvents waits until the process has read the events that its server sends, and the server sends no more.
func (p *process) awaitEvents() {
	sent := int64(0)
	for range maxPolls {
		before := sent
		sent = p.eventsSent.Load()
		if sent > 0 && sent == before && p.bytesUnder(p.server) == 0 {
			break
		}
		p.clock.SleepUncancellable(pollPause)
	}
	p.t.Logf("%d events without an end were sent", sent)
}
