package exchanger

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// headerTimeout is the time limit for reading a request's header, in
	// milliseconds.
	headerTimeout = 5 * clocker.Second
	// serverIdleTimeout is the time after which an idle connection is closed, in milliseconds: twice the
	// time for which clients keep one.
	serverIdleTimeout = 2 * idleConnTimeout
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 64 << 20
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 16 << 10
)

var unauthenticatedCalls = metrics.NewCounter("cowsliphinge_exchange_unauthenticated_total")

// HeartbeatHandler handles heartbeats from other routers.
type HeartbeatHandler interface {
	SendBeat(ctx context.Context, beat *messenger.Beat) (*messenger.BeatReply, error)
}

// TransferHandler handles transfers of budget tokens between routers.
type TransferHandler interface {
	Transfer(ctx context.Context, q *messenger.TransferRequest) (*messenger.TransferReply, error)
}

// ConfigurationProvider returns the configuration to other routers.
type ConfigurationProvider interface {
	PullConfiguration(ctx context.Context, q *messenger.PullRequest) (*messenger.PullReply, error)
}

// BillCopyHandler stores copies of the bills of other routers.
type BillCopyHandler interface {
	CopyBills(ctx context.Context, q *messenger.BillBatch) (*messenger.CopyReply, error)
}

// StreamTracker records the open streams of other routers.
type StreamTracker interface {
	TrackStreams(ctx context.Context, q *messenger.TrackRequest) (*messenger.TrackReply, error)
}

// OriginKeeper keeps the origins of streams that other routers began.
type OriginKeeper interface {
	ShareOrigins(ctx context.Context, q *messenger.OriginRequest) (*messenger.OriginReply, error)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	OperatorKey string
	RouterKey   string
	// TLS is nil for plain TCP.
	TLS *tls.Config

	HeartbeatHandler HeartbeatHandler
	TransferHandler  TransferHandler
	// ConfigurationProvider, BillCopyHandler, StreamTracker and OriginKeeper may be nil; their
	// calls are then rejected as unimplemented.
	ConfigurationProvider ConfigurationProvider
	BillCopyHandler       BillCopyHandler
	StreamTracker         StreamTracker
	OriginKeeper          OriginKeeper
	// Tunnels handles CONNECT requests of other routers; with nil they are rejected.
	Tunnels http.Handler
	// Commander and Querier may be nil if OperatorKey is empty, since an empty key
	// rejects every call to them.
	Commander messenger.Commander
	Querier   messenger.Querier
	// Ready reports whether the router accepts requests from callers.
	Ready func() bool
	// MemoryMb is the memory limit of the process, from which the bounds on the bodies of calls and on
	// connections are derived; 0 means none.
	MemoryMb int64
	// MaxDescriptors is the configured limit of open descriptors; 0 means that of the system.
	MaxDescriptors int64
}

// Server serves calls from other routers and operators, metrics and health checks.
type Server struct {
	cfg   ServerConfig
	http  *http.Server
	conns *connBound
}

// NewServer returns a server; Serve accepts connections.
func NewServer(cfg ServerConfig) *Server {
	if cfg.ConfigurationProvider == nil {
		cfg.ConfigurationProvider = unimplemented{}
	}
	if cfg.BillCopyHandler == nil {
		cfg.BillCopyHandler = unimplemented{}
	}
	if cfg.StreamTracker == nil {
		cfg.StreamTracker = unimplemented{}
	}
	if cfg.OriginKeeper == nil {
		cfg.OriginKeeper = unimplemented{}
	}
	s := &Server{cfg: cfg, conns: newConnBound(maxConns(cfg.MemoryMb, descriptorLimit(cfg.MaxDescriptors)))}
	s.http = &http.Server{
		Handler:           s.withTunnels(withBodyDeadline(s.routes())),
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: headerTimeout.Duration(),
		IdleTimeout:       serverIdleTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       connContext,
		ConnState:         s.conns.connState,
	}
	return s
}

// Serve accepts connections on l until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	l = boundedListener{Listener: l, bound: s.conns}
	if s.cfg.TLS != nil {
		l = tls.NewListener(l, s.cfg.TLS)
	}
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// Shutdown stops the server after the calls in progress have completed.
func (s *Server) Shutdown(ctx context.Context) error {
	return trace.Wrap(s.http.Shutdown(ctx))
}

// Close stops the server immediately and closes its connections.
func (s *Server) Close() error {
	return trace.Wrap(s.http.Close())
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	exchange := messenger.NewExchangeServer(exchangeService{
		HeartbeatHandler:      s.cfg.HeartbeatHandler,
		TransferHandler:       s.cfg.TransferHandler,
		ConfigurationProvider: s.cfg.ConfigurationProvider,
		BillCopyHandler:       s.cfg.BillCopyHandler,
		StreamTracker:         s.cfg.StreamTracker,
		OriginKeeper:          s.cfg.OriginKeeper,
	})
	commands := messenger.NewCommanderServer(s.cfg.Commander)
	queries := messenger.NewQuerierServer(s.cfg.Querier)
	// Operators' calls have a budget of their own: they never take the room of heartbeats and transfers.
	hostBodies, operatorBodies := newBodyReader(s.cfg.MemoryMb), newBodyReader(s.cfg.MemoryMb)
	mux.Handle(exchange.PathPrefix(), s.authenticated(s.cfg.RouterKey, hostBodies.wrap(s.conns.wrap(exchange))))
	mux.Handle(commands.PathPrefix(), s.authenticated(s.cfg.OperatorKey, operatorBodies.wrap(s.conns.wrap(commands))))
	mux.Handle(queries.PathPrefix(), s.authenticated(s.cfg.OperatorKey, operatorBodies.wrap(s.conns.wrap(queries))))
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.cfg.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// withTunnels passes CONNECT requests, whose target is no path, to the tunnels.
func (s *Server) withTunnels(calls http.Handler) http.Handler {
	if s.cfg.Tunnels == nil {
		return calls
	}
	tunnels := s.authenticated(s.cfg.RouterKey, s.conns.wrap(withConnection(s.cfg.Tunnels)))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodConnect {
			tunnels.ServeHTTP(w, r)
			return
		}
		calls.ServeHTTP(w, r)
	})
}

func (s *Server) authenticated(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !keysEqual(presented, key) {
			refuseBody(w, http.StatusUnauthorized, "unauthenticated", "the key is missing or wrong", unauthenticatedCalls)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// keysEqual compares keys in constant time. An empty key, which means that none is
// configured, matches nothing.
func keysEqual(presented, key string) bool {
	a := sha256.Sum256([]byte(presented))
	b := sha256.Sum256([]byte(key))
	return key != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// exchangeService combines the handlers into a messenger.Exchange.
type exchangeService struct {
	HeartbeatHandler
	TransferHandler
	ConfigurationProvider
	BillCopyHandler
	StreamTracker
	OriginKeeper
}
