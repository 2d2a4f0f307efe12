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
	// headerTimeout bounds reading a request's head, in milliseconds.
	headerTimeout = 5 * clocker.Second
	// maxBodyBytes bounds a request's body.
	maxBodyBytes = 64 << 20
	// maxHeaderBytes bounds a request's head.
	maxHeaderBytes = 16 << 10
)

var unauthenticated = metrics.NewCounter("cowsliphinge_exchange_unauthenticated_total")

// Beater takes heartbeats.
type HeartbeatHandler interface {
	SendBeat(ctx context.Context, beat *messenger.Beat) (*messenger.BeatReply, error)
}

// Transferrer takes budget transfers.
type TransferHandler interface {
	Transfer(ctx context.Context, q *messenger.TransferRequest) (*messenger.TransferReply, error)
}

// Puller hands out the configuration.
type ConfigurationProvider interface {
	PullConfiguration(ctx context.Context, q *messenger.PullRequest) (*messenger.PullReply, error)
}

// Copier keeps copies of bills.
type BillCopyHandler interface {
	CopyBills(ctx context.Context, q *messenger.BillBatch) (*messenger.CopyReply, error)
}

// Tracker keeps open streams of other routers.
type StreamTracker interface {
	TrackStreams(ctx context.Context, q *messenger.TrackRequest) (*messenger.TrackReply, error)
}

// ServerConfig configures a Server.
type ServerConfig struct {
	OperatorKey string
	RouterKey   string
	// TLS is nil for plain TCP.
	TLS *tls.Config

	HeartbeatHandler HeartbeatHandler
	TransferHandler  TransferHandler
	// Puller, Copier and Tracker may be nil: their calls are refused.
	ConfigurationProvider ConfigurationProvider
	BillCopyHandler       BillCopyHandler
	StreamTracker         StreamTracker
	Commander             messenger.Commander
	Querier               messenger.Querier
	// Ready tells whether the router takes callers.
	Ready func() bool
}

// Server answers other routers and operators.
type Server struct {
	cfg  ServerConfig
	http *http.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	if cfg.ConfigurationProvider == nil {
		cfg.ConfigurationProvider = absent{}
	}
	if cfg.BillCopyHandler == nil {
		cfg.BillCopyHandler = absent{}
	}
	if cfg.StreamTracker == nil {
		cfg.StreamTracker = absent{}
	}
	s := &Server{cfg: cfg}
	s.http = &http.Server{
		Handler:           s.routes(),
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: headerTimeout.Duration(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Serve answers on l until Close.
func (s *Server) Serve(l net.Listener) error {
	if s.cfg.TLS != nil {
		l = tls.NewListener(l, s.cfg.TLS)
	}
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// Shutdown ends the server once its calls are answered.
func (s *Server) Shutdown(ctx context.Context) error {
	return trace.Wrap(s.http.Shutdown(ctx))
}

// Close ends the server at once.
func (s *Server) Close() error {
	return trace.Wrap(s.http.Close())
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	exchange := messenger.NewExchangeServer(exchange{
		HeartbeatHandler:      s.cfg.HeartbeatHandler,
		TransferHandler:       s.cfg.TransferHandler,
		ConfigurationProvider: s.cfg.ConfigurationProvider,
		BillCopyHandler:       s.cfg.BillCopyHandler,
		StreamTracker:         s.cfg.StreamTracker,
	})
	commands := messenger.NewCommanderServer(s.cfg.Commander)
	queries := messenger.NewQuerierServer(s.cfg.Querier)
	mux.Handle(exchange.PathPrefix(), s.authenticated(s.cfg.RouterKey, exchange))
	mux.Handle(commands.PathPrefix(), s.authenticated(s.cfg.OperatorKey, commands))
	mux.Handle(queries.PathPrefix(), s.authenticated(s.cfg.OperatorKey, queries))
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !s.cfg.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func (s *Server) authenticated(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || !sameKey(given, key) {
			unauthenticated.Inc()
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"code":"unauthenticated","msg":"the key is missing or wrong"}`))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// sameKey compares in constant time. An empty key of the settings matches nothing.
func sameKey(given, key string) bool {
	a := sha256.Sum256([]byte(given))
	b := sha256.Sum256([]byte(key))
	return key != "" && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// exchange joins the parts that implement messenger.Exchange.
type exchange struct {
	HeartbeatHandler
	TransferHandler
	ConfigurationProvider
	BillCopyHandler
	StreamTracker
}
