// Package responder is a server on loopback that sends prepared bytes as responses, whether or not they are
// valid HTTP, and ends its connections in different ways.
package responder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gravitational/trace"

	"cowsliphinge/clocker"
)

// Config configures a Server.
type Config struct {
	// Respond returns the bytes sent in response to a request.
	Respond func(r *http.Request) string
	// Early sends the response before the body of the request is read.
	Early bool
	// End ends a connection after its first response; nil keeps it open for further requests.
	End func(c *net.TCPConn)
}

// Server accepts connections until Close.
type Server struct {
	cfg      Config
	listener net.Listener
	conns    atomic.Int64
}

// Start starts a server on a free port.
func Start(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{cfg: cfg, listener: listener}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s, nil
}

// Address returns IP and port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Conns returns the number of connections accepted.
func (s *Server) Conns() int64 {
	return s.conns.Load()
}

// Close closes the listener.
func (s *Server) Close() {
	_ = s.listener.Close()
}

func (s *Server) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !s.cfg.Early {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, s.cfg.Respond(req)); err != nil {
			return
		}
		if s.cfg.End != nil {
			s.cfg.End(c)
			return
		}
	}
}

// Reset ends a connection by a TCP reset.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only if the connection is already closed
	_ = c.Close()
}

// ResetAfter returns an End that resets a connection after a delay in milliseconds.
func ResetAfter(delay clocker.Millis) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		clocker.NewWall().SleepUncancellable(delay)
		Reset(c)
	}
}

// CloseWrite ends the sending side of a connection and reads what is left.
func CloseWrite(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}
