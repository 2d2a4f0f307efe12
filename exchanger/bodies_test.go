package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cowsliphinge/exchanger"
	"cowsliphinge/messenger"
)

// answerTimeout ends a test whose connection is neither answered nor closed.
const answerTimeout = 20 * time.Second

// startCall opens a connection and sends the head of a call and the first bytes of its body.
func startCall(t *testing.T, address, method, key string, announced, sent int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
	_, err = fmt.Fprintf(conn, "POST /twirp/cowsliphinge.%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", method, key, announced)
	assert.NilError(t, err)
	_, _ = conn.Write(make([]byte, sent)) // the server may have closed the connection
	return conn
}

// readStatus reads an answer and the end of its connection.
func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, resp.Close, "the connection stays open")
	return resp.StatusCode
}

// Guards against a server that waits for, or reads, the body of a call that it refuses for its key or length.
func TestRefusedCallIsAnsweredWithoutItsBody(t *testing.T) {
	address := serve(t)
	assert.Equal(t, readStatus(t, startCall(t, address, "Exchange/SendBeat", "a wrong key", 1<<20, 0)), 401)
	assert.Equal(t, readStatus(t, startCall(t, address, "Exchange/SendBeat", routerKey, 65<<20, 0)), 413)
}

// Guards against large calls of operators that take the memory of heartbeats, and against a sum of bodies without
// a bound: more than it takes are refused, and those that hold the most are evicted.
func TestLargeCallsOfOperatorsDoNotRefuseHeartbeats(t *testing.T) {
	address := serveWithMemory(t, 64)
	const body = 1 << 20
	statuses := make(chan int)
	for range 16 {
		conn := startCall(t, address, "Commander/TopUp", operatorKey, body+1, body)
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				statuses <- 0 // closed as the test ends
				return
			}
			statuses <- resp.StatusCode
		}()
	}
	assert.Equal(t, <-statuses, 503)
	client := exchanger.NewClient(exchanger.ClientConfig{RouterKey: routerKey})
	defer client.Close()
	_, err := client.SendBeat(context.Background(), address, &messenger.Beat{})
	assert.NilError(t, err)
	go func() {
		for range statuses { // until the process ends
		}
	}()
}

// Guards against a small memory limit that refuses bodies below the bound derived from it.
func TestLargeBodyIsHandled(t *testing.T) {
	address := serveWithMemory(t, 64)
	commander := messenger.NewCommanderProtobufClient("http://"+address, exchanger.NewHTTPClient(operatorKey, nil))
	reply, err := commander.TopUp(context.Background(), &messenger.TopUpRequest{By: string(make([]byte, 3<<20))})
	assert.NilError(t, err)
	assert.Equal(t, reply.Granted, int64(7))
	_, err = commander.TopUp(context.Background(), &messenger.TopUpRequest{By: string(make([]byte, 6<<20))})
	assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded), "%v", err)
}

// Guards against heartbeats that are refused while a single large body, which may hold more than the budget, stalls.
func TestStalledLargeCallOfAHostDoesNotRefuseHeartbeats(t *testing.T) {
	address := serveWithMemory(t, 64)
	client := exchanger.NewClient(exchanger.ClientConfig{RouterKey: routerKey})
	defer client.Close()
	const body = 4 << 20
	for range 3 {
		conn := startCall(t, address, "Exchange/CopyBills", routerKey, body+1, body)
		time.Sleep(100 * time.Millisecond) // long enough, in most runs, for the server to read what was sent
		_, err := client.SendBeat(context.Background(), address, &messenger.Beat{Host: "h"})
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
	}
}
