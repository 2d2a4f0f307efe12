package flooder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// exchangeConnections is the number of clients of the exchange listener of each kind that keep a connection.
	exchangeConnections = 500
	// exchangeDescriptors bounds the descriptors of a process with floodMemoryMb or serveMemoryMb.
	exchangeDescriptors = 640
)

// exchangeCrowds returns what clients without a key send before they keep their connection: nothing, a part of a
// head, or a whole request that needs no key.
func exchangeCrowds() []func(c net.Conn) error {
	return []func(c net.Conn) error{
		func(net.Conn) error { return nil },
		func(c net.Conn) error {
			_, err := io.WriteString(c, "POST /twirp/cowsliphinge.Exchange/SendBeat HTTP/1.1\r\nHost: h\r\n")
			return err
		},
		func(c net.Conn) error {
			if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return err
			}
			_, err := c.Read(make([]byte, 1))
			return err
		},
	}
}

// exchangeHost is another host with one connection to the process.
type exchangeHost struct {
	conn   net.Conn
	reader *bufio.Reader
	key    string
}

func dialExchange(address, key string) (exchangeHost, error) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return exchangeHost{}, err
	}
	return exchangeHost{conn: c, reader: bufio.NewReader(c), key: key}, nil
}

// beat sends a heartbeat on the connection and reads the reply.
func (h exchangeHost) beat() error {
	body, err := proto.Marshal(&messenger.Beat{Incarnation: "h9-1", Host: "h9", AvailabilityZone: "a", ExchangeAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"})
	if err != nil {
		return err
	}
	_ = h.conn.SetDeadline(clocker.FromNow(ioTimeout)) // fails only if the connection is closed
	_, err = fmt.Fprintf(h.conn, "POST /twirp/cowsliphinge.Exchange/SendBeat HTTP/1.1\r\nHost: h\r\nContent-Type: application/protobuf\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", h.key, len(body), body)
	if err != nil {
		return err
	}
	resp, err := http.ReadResponse(h.reader, nil)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// beatOnNewConnection sends a heartbeat on a connection of its own.
func beatOnNewConnection(address, key string) error {
	h, err := dialExchange(address, key)
	if err != nil {
		return err
	}
	defer func() { _ = h.conn.Close() }()
	return h.beat()
}

// Connections of the exchange listener on which nothing is called take the descriptors and the memory that hosts
// and callers need. Heartbeats get through on the connection that a host has, and on new ones.
func TestConnectionsOfTheExchangeListenerAreBounded(t *testing.T) {
	p := startFloodProcess(t)
	host, err := dialExchange(p.exchange, routerKey)
	assert.NilError(t, err)
	defer func() { _ = host.conn.Close() }()
	assert.NilError(t, host.beat())
	for _, client := range exchangeCrowds() {
		p.crowdAt(p.exchange, exchangeConnections, client)
		assert.NilError(t, host.beat(), "a heartbeat on an open connection")
		assert.NilError(t, p.eventually(func() error { return beatOnNewConnection(p.exchange, routerKey) }), "a heartbeat on a new connection")
	}
	p.assertBounded(exchangeDescriptors)
}

// The same for `serve`.
func TestServeBoundsConnectionsOfTheExchangeListener(t *testing.T) {
	p := startServeProcess(t)
	host, err := dialExchange(p.exchange, serveRouterKey)
	assert.NilError(t, err)
	defer func() { _ = host.conn.Close() }()
	assert.NilError(t, host.beat())
	for _, client := range exchangeCrowds() {
		p.crowd(p.exchange, exchangeConnections, client)
		assert.NilError(t, host.beat(), "a heartbeat on an open connection")
		p.eventually("a heartbeat on a new connection", func() error { return beatOnNewConnection(p.exchange, serveRouterKey) })
	}
	descriptors := p.descriptors()
	assert.Check(t, descriptors <= exchangeDescriptors, "%d open descriptors", descriptors)
	p.assertExchanges()
	p.assertBounded()
}
