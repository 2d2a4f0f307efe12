package verifier

import (
	"bytes"
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Conn is a client connection on which a broken response fails a read. The bytes before what breaks a rule can be read.
// Requests are not pipelined: a write behind the end of a response begins the next one.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	response Response
	// begun is true once a byte of the response was read.
	begun bool
	// broken is the error of a broken response. Later reads and writes fail with it.
	broken error
}

// NewConn returns a Conn.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.response.ended() {
		c.begun = false
		method, _, _ := bytes.Cut(b, []byte(" "))
		c.response.Begin(string(method))
	}
	broken := c.broken
	c.mu.Unlock()
	if broken != nil {
		return 0, broken
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken != nil {
		return 0, broken
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	valid, broken := c.response.Scan(b[:n])
	if broken == nil {
		c.begun = c.begun || n > 0
		return n, err
	}
	c.broken = broken
	Report(broken, slog.String("address", c.RemoteAddr().String()))
	if valid == 0 && c.begun {
		return 0, broken
	}
	return max(valid, 1), nil // fasthttp takes an error before the first byte for a closed connection
}

// secureConn is a Conn over TLS. fasthttp takes a connection with this method for one that needs no TLS any more.
type secureConn struct {
	*Conn
	secure *tls.Conn
}

// Handshake runs the TLS handshake, unless that was done.
func (c secureConn) Handshake() error {
	return c.secure.Handshake()
}

// newSecureConn returns a Conn over TLS whose handshake comes with the first read or write.
func newSecureConn(c net.Conn, config *tls.Config, address string) secureConn {
	config = config.Clone() // nil if it is nil
	if config == nil {
		config = &tls.Config{}
	}
	if config.ServerName == "" {
		config.ServerName = address
		if host, _, err := net.SplitHostPort(address); err == nil {
			config.ServerName = host
		}
	}
	secure := tls.Client(c, config)
	return secureConn{Conn: NewConn(secure), secure: secure}
}

// ConfigureHostClient is a fasthttp.Client.ConfigureClient that calls Configure.
func ConfigureHostClient(client *fasthttp.HostClient) error {
	Configure(client)
	return nil
}

// Configure makes a client of fasthttp check the responses that it reads.
func Configure(client *fasthttp.HostClient) {
	dial := client.DialTimeout
	if dial == nil {
		dial = func(address string, timeout time.Duration) (net.Conn, error) {
			switch {
			case client.Dial != nil:
				return client.Dial(address)
			case timeout > 0:
				return fasthttp.DialTimeout(address, timeout)
			}
			return fasthttp.Dial(address)
		}
	}
	client.DialTimeout = func(address string, timeout time.Duration) (net.Conn, error) {
		c, err := dial(address, timeout)
		switch {
		case err != nil:
			return nil, err
		case client.IsTLS:
			return newSecureConn(c, client.TLSConfig, address), nil
		}
		return NewConn(c), nil
	}
}

// ConfigureTransport makes a client of net/http check the responses that it reads.
func ConfigureTransport(t *http.Transport) {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secure := newSecureConn(c, t.TLSClientConfig, address)
		if err := secure.secure.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		return secure, nil
	}
}
