package tunneler

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
)

const (
	// timeoutHeader holds the time for the dial of the server, in milliseconds.
	timeoutHeader = "X-Dial-Timeout-Ms"
	// maxDialTimeout bounds it, in milliseconds.
	maxDialTimeout = 2 * clocker.Second
	// maxTunnels bounds the tunnels of a host. Each takes two of its some thousand descriptors.
	maxTunnels = 512
)

var (
	openedTunnels  = metrics.NewCounter(`cowsliphinge_tunnels_total{outcome="opened"}`)
	failedTunnels  = metrics.NewCounter(`cowsliphinge_tunnels_total{outcome="server_unreachable"}`)
	refusedTunnels = metrics.NewCounter(`cowsliphinge_tunnels_total{outcome="refused"}`)
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Dial connects directly to a backend server.
	Dial DialFunc
	// IsServer reports whether a backend server is known at the address.
	IsServer func(address string) bool
	// Accepts reports whether this host accepts new tunnels.
	Accepts func() bool
	// Forwarded counts the bytes of a read or write; nil counts nothing.
	Forwarded func(bytes int)
}

// Server is the far end of tunnels. It expects authenticated requests.
type Server struct {
	cfg ServerConfig

	mu     sync.Mutex
	closed bool
	// open holds the connections of the open tunnels to the near hosts.
	open map[net.Conn]struct{}
}

// NewServer returns a Server without tunnels.
func NewServer(cfg ServerConfig) *Server {
	if cfg.Forwarded == nil {
		cfg.Forwarded = func(int) {}
	}
	return &Server{cfg: cfg, open: map[net.Conn]struct{}{}}
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Close closes all tunnels. The answers in them are cut and end without the mark of a clean end.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.open {
		_ = c.Close()
	}
}

// ServeHTTP serves a CONNECT request and returns when its tunnel has ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address := r.Host
	if !s.cfg.IsServer(address) {
		refusedTunnels.Inc()
		http.Error(w, "no backend server is known at this address", http.StatusForbidden)
		return
	}
	if !s.cfg.Accepts() || s.Open() >= maxTunnels {
		refusedTunnels.Inc()
		http.Error(w, "this host accepts no tunnel", http.StatusServiceUnavailable)
		return
	}
	server, err := s.cfg.Dial(r.Context(), address, dialTimeout(r))
	if err != nil {
		failedTunnels.Inc()
		if errors.Is(err, syscall.ECONNREFUSED) {
			w.Header().Set(dialFailureHeader, refusedFailure)
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	host, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = server.Close()
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	marked := r.Header.Get(endMarkHeader) == endMarkValue
	if !marked {
		setResetOnClose(host, true)
	}
	if !s.add(host) {
		_ = host.Close()
		_ = server.Close()
		return
	}
	defer s.remove(host)
	openedTunnels.Inc()
	if _, err := host.Write([]byte(replyText(marked))); err != nil {
		_ = host.Close()
		_ = server.Close()
		return
	}
	forward(host, server, marked, s.cfg.Forwarded)
}

// replyText returns the reply to the CONNECT request of a tunnel that is open.
func replyText(marked bool) string {
	if !marked {
		return "HTTP/1.1 200 OK\r\n\r\n"
	}
	return "HTTP/1.1 200 OK\r\n" + endMarkHeader + ": " + endMarkValue + "\r\n" + resetCheckHeader + ": " + resetCheckValue + "\r\n\r\n"
}

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.open[c] = struct{}{}
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// dialTimeout returns the time for the dial of the server, in milliseconds.
func dialTimeout(r *http.Request) clocker.Millis {
	ms, err := strconv.ParseInt(r.Header.Get(timeoutHeader), 10, 64)
	if err != nil || ms <= 0 {
		return maxDialTimeout
	}
	return min(clocker.Millis(ms), maxDialTimeout)
}
