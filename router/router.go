// Package router assembles one router from its parts and runs it.
package router

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync/atomic"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/balancer"
	"cowsliphinge/biller"
	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/dispatcher"
	"cowsliphinge/drainer"
	"cowsliphinge/exchanger"
	"cowsliphinge/heartbeater"
	"cowsliphinge/listener"
	"cowsliphinge/messenger"
	"cowsliphinge/mover"
	"cowsliphinge/orderer"
	"cowsliphinge/reserver"
	"cowsliphinge/spreader"
	"cowsliphinge/storer"
	"cowsliphinge/tracker"
)

// Config configures a Router.
type Config struct {
	Settings *messenger.Settings
	Clock    *clocker.Clock
	Log      *slog.Logger
	// Network lets tests cut the router off; nil cuts nothing.
	Network Network
	// Callers and Exchange are open listeners; nil opens those of the settings.
	Callers  net.Listener
	Exchange net.Listener
}

// Network tells what a router reaches.
type Network interface {
	// Reaches reports whether the host named from reaches the address.
	Reaches(from, address string) bool
}

// Router is one running router.
type Router struct {
	cfg         Config
	incarnation string
	ready       atomic.Bool
	started     atomic.Bool // the parts that beat asks are there
	killed      atomic.Bool
	leaving     chan struct{}
	callerTLS   *tls.Config // towards the callers' listeners of other routers
	cancel      context.CancelFunc
	group       errgroup.Group

	store       *storer.Client
	exchange    *exchanger.Client
	heartbeater *heartbeater.Heartbeater
	spreader    atomic.Pointer[spreader.Spreader]
	reserver    *reserver.Reserver
	claimer     *claimer.Claimer
	biller      *biller.Biller
	tracker     *tracker.Tracker
	balancer    *balancer.Balancer
	connector   *connector.Connector
	mover       *mover.Mover
	orderer     *orderer.Orderer
	cut         atomic.Int64 // requests that the graceful stop cut
	dispatcher  *dispatcher.Dispatcher
	listener    *listener.Listener
	server      *exchanger.Server
	commander   messenger.Commander
}

// New opens the listeners of the settings and starts a router. It takes
// callers once a configuration is known.
func New(ctx context.Context, cfg Config) (*Router, error) {
	listenerTLS, err := serverTLS(cfg.Settings.CallerTls)
	if err != nil {
		return nil, trace.Wrap(err, "CallerTls")
	}
	exchangeTLS, err := serverTLS(cfg.Settings.ExchangeTls)
	if err != nil {
		return nil, trace.Wrap(err, "ExchangeTls")
	}
	peerTLS, err := clientTLS(cfg.Settings.ExchangeTls)
	if err != nil {
		return nil, trace.Wrap(err, "ExchangeTls")
	}
	callerTLS, err := clientTLS(cfg.Settings.CallerTls)
	if err != nil {
		return nil, trace.Wrap(err, "CallerTls")
	}
	callers, err := listen(cfg.Callers, cfg.Settings.CallerAddress)
	if err != nil {
		return nil, trace.Wrap(err, "CallerAddress")
	}
	peers, err := listen(cfg.Exchange, cfg.Settings.ExchangeAddress)
	if err != nil {
		_ = callers.Close()
		return nil, trace.Wrap(err, "ExchangeAddress")
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Router{
		cfg:         cfg,
		incarnation: heartbeater.NewIncarnation(cfg.Settings.Host, cfg.Clock.Now()),
		leaving:     make(chan struct{}),
		callerTLS:   callerTLS,
		cancel:      cancel,
	}
	r.startClients(peerTLS)
	r.startMembership(ctx)
	r.startDeciders(ctx)
	r.startMoves(ctx)
	r.startListeners(listenerTLS, exchangeTLS)
	r.group.Go(func() error { return r.server.Serve(peers) })
	r.group.Go(func() error { return r.listener.Serve(callers) })
	r.group.Go(func() error {
		r.watchLeaving(ctx)
		return nil
	})
	r.ready.Store(true)
	cfg.Log.Info("started", "incarnation", r.incarnation, "callers", cfg.Settings.CallerAddress, "exchange", cfg.Settings.ExchangeAddress)
	return r, nil
}

func listen(open net.Listener, address string) (net.Listener, error) {
	if open != nil {
		return open, nil
	}
	return net.Listen("tcp", address)
}

// Incarnation returns the name of this life of the host.
func (r *Router) Incarnation() string {
	return r.incarnation
}

// Ready reports whether the router takes callers.
func (r *Router) Ready() bool {
	return r.ready.Load() && r.spreader.Load().Ready()
}

// Leaving is closed once a move in force says that this host is to drain.
func (r *Router) Leaving() <-chan struct{} {
	return r.leaving
}

// watchLeaving looks every second whether the host is to drain.
func (r *Router) watchLeaving(ctx context.Context) {
	for r.cfg.Clock.Sleep(ctx, clocker.Second) == nil {
		if r.index().HostLeaving(r.cfg.Settings.Host, r.cfg.Clock.Now()) {
			close(r.leaving)
			return
		}
	}
}

// Commander returns the operators' commands of this router.
func (r *Router) Commander() messenger.Commander {
	return r.commander
}

// Wait returns once both listeners have ended, with the error of either.
func (r *Router) Wait() error {
	return trace.Wrap(r.group.Wait())
}

// Drain stops the router without cutting requests and reports what was left.
func (r *Router) Drain(ctx context.Context) drainer.Report {
	policy := r.policy()
	return drainer.Drain(ctx, drainer.Config{
		Clock:         r.cfg.Clock,
		Log:           r.cfg.Log,
		BalancerDelay: clocker.Millis(policy.BalancerDelayMs),
		Timeout:       clocker.Millis(policy.StopBoundMs),
		Dispatcher:    r.dispatcher,
		MarkNotReady:  func() { r.ready.Store(false) },
		Components: []drainer.Component{
			{Name: "requests cut", Close: r.noteCut},
			{Name: "moves", Close: r.mover.Close},
			{Name: "orders", Close: r.orderer.Close},
			{Name: "callers", Close: r.listener.Shutdown},
			{Name: "claims", Close: r.claimer.Close},
			{Name: "streams", Close: r.tracker.Close},
			{Name: "bills", Close: r.biller.Close},
			{Name: "budgets", Close: r.reserver.Close},
			{Name: "balancer", Close: r.balancer.Close},
			{Name: "configuration", Close: r.spreader.Load().Close},
			{Name: "membership", Close: r.heartbeater.Close},
			{Name: "exchange", Close: r.server.Shutdown},
			{Name: "connections", Close: r.closeConnections},
		},
	})
}

// Kill ends the router as a crash would: connections break, nothing is
// returned, written or sent.
func (r *Router) Kill() error {
	r.ready.Store(false)
	r.killed.Store(true)
	r.cancel()
	return trace.NewAggregate(r.server.Close(), r.listener.Abort())
}

func (r *Router) closeConnections(context.Context) error {
	r.cancel()
	r.connector.CloseIdle()
	r.exchange.Close()
	return nil
}

func (r *Router) startClients(peerTLS *tls.Config) {
	s := r.cfg.Settings
	r.store = storer.NewClient(storer.ClientConfig{
		URL:            s.PlatformUrl,
		HostListURL:    s.HostListUrl,
		CallsPerSecond: func() int64 { return r.policy().PlatformCallsPerSecond },
		Clock:          r.cfg.Clock,
		Reachable:      r.reaches,
	})
	r.exchange = exchanger.NewClient(exchanger.ClientConfig{RouterKey: s.RouterKey, TLS: peerTLS, MayCall: r.reaches})
	r.connector = connector.New(connector.Config{Clock: r.cfg.Clock, MayCall: r.reaches})
}

func (r *Router) reaches(address string) bool {
	if r.killed.Load() {
		return false
	}
	return r.cfg.Network == nil || r.cfg.Network.Reaches(r.cfg.Settings.Host, address)
}

func (r *Router) startMembership(ctx context.Context) {
	s := r.cfg.Settings
	r.heartbeater = heartbeater.New(ctx, heartbeater.Config{
		OwnBeat:       r.beat,
		Clock:         r.cfg.Clock,
		DeclaredHosts: r.declaredHosts,
		SeedAddresses: s.Peers,
		HostList:      r.store,
		Exchange:      r.exchange,
	})
	r.spreader.Store(spreader.New(ctx, spreader.Config{
		Host:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		Clock:            r.cfg.Clock,
		Store:            r.store,
		Exchange:         r.exchange,
		Peers:            r.heartbeater.Peers,
		Seeds:            s.Peers,
		Log:              r.cfg.Log,
	}))
}

// Version returns the version of the configuration in force here.
func (r *Router) Version() int64 {
	return r.index().Version()
}

// Tracks reports whether this router keeps the record of another host's stream.
func (r *Router) Tracks(requestID string) bool {
	return r.tracker.Locate(requestID) != nil
}
