// Package router assembles a router process from its components and runs it.
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
	"cowsliphinge/withholder"
)

// Config configures a Router.
type Config struct {
	Settings *messenger.Settings
	Clock    *clocker.Clock
	Log      *slog.Logger
	// Network lets tests simulate network partitions; with nil every address is reachable.
	Network Network
	// CallerListener and ExchangeListener are open listeners; for nil, New opens
	// the address of the settings.
	CallerListener   net.Listener
	ExchangeListener net.Listener
}

// Network decides which addresses a router reaches.
type Network interface {
	// Reaches reports whether the host from reaches the address.
	Reaches(from, address string) bool
}

// Router is one running router.
type Router struct {
	cfg               Config
	incarnation       string
	ready             atomic.Bool
	componentsStarted atomic.Bool // the components that ownBeat reads exist
	killed            atomic.Bool
	leaving           chan struct{}
	callerTLS         *tls.Config // client side, for the caller listeners of other routers
	cancel            context.CancelFunc
	group             errgroup.Group

	store       *storer.Client
	exchange    *exchanger.Client
	heartbeater *heartbeater.Heartbeater
	withholder  *withholder.Withholder
	spreader    atomic.Pointer[spreader.Spreader]
	reserver    *reserver.Reserver
	claimer     *claimer.Claimer
	biller      *biller.Biller
	tracker     *tracker.Tracker
	balancer    *balancer.Balancer
	connector   *connector.Connector
	mover       *mover.Mover
	orderer     *orderer.Orderer
	requestsCut atomic.Int64 // requests aborted by the graceful stop
	dispatcher  *dispatcher.Dispatcher
	listener    *listener.Listener
	server      *exchanger.Server
	commander   messenger.Commander
}

// New opens the listeners of the settings and starts a router. The router
// accepts requests of callers once it has a configuration.
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
	callerListener, err := listen(cfg.CallerListener, cfg.Settings.CallerAddress)
	if err != nil {
		return nil, trace.Wrap(err, "CallerAddress")
	}
	exchangeListener, err := listen(cfg.ExchangeListener, cfg.Settings.ExchangeAddress)
	if err != nil {
		_ = callerListener.Close()
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
	r.startRequestHandling(ctx)
	r.startMover(ctx)
	r.startListeners(listenerTLS, exchangeTLS)
	r.group.Go(func() error { return r.server.Serve(exchangeListener) })
	r.group.Go(func() error { return r.listener.Serve(callerListener) })
	r.group.Go(func() error {
		r.watchLeaving(ctx)
		return nil
	})
	r.ready.Store(true)
	cfg.Log.Info("started", "incarnation", r.incarnation, "callers", cfg.Settings.CallerAddress, "exchange", cfg.Settings.ExchangeAddress)
	return r, nil
}

func listen(listener net.Listener, address string) (net.Listener, error) {
	if listener != nil {
		return listener, nil
	}
	return net.Listen("tcp", address)
}

// Incarnation returns the incarnation of this host.
func (r *Router) Incarnation() string {
	return r.incarnation
}

// Ready reports whether the router accepts requests of callers.
func (r *Router) Ready() bool {
	return r.ready.Load() && r.spreader.Load().Ready()
}

// Leaving returns a channel that is closed once a move in force requires this
// host to drain.
func (r *Router) Leaving() <-chan struct{} {
	return r.leaving
}

// watchLeaving checks every second whether the host has to drain.
func (r *Router) watchLeaving(ctx context.Context) {
	for r.cfg.Clock.Sleep(ctx, clocker.Second) == nil {
		if r.index().HostLeaving(r.cfg.Settings.Host, r.cfg.Clock.Now()) {
			close(r.leaving)
			return
		}
	}
}

// Commander returns the handler of the operators' commands.
func (r *Router) Commander() messenger.Commander {
	return r.commander
}

// Wait returns once both listeners have stopped, with the first error.
func (r *Router) Wait() error {
	return trace.Wrap(r.group.Wait())
}

// Drain stops the router gracefully and reports what remained unfinished.
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
			{Name: "requests cut", Close: r.recordRequestsCut},
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

// Kill simulates a crash: it aborts connections and returns no budget, writes
// no records and sends no messages.
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
		MayCall:        r.reaches,
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
	r.withholder = withholder.New(withholder.Config{
		Clock:    r.cfg.Clock,
		Log:      r.cfg.Log,
		Host:     s.Host,
		Store:    r.store,
		Peers:    func() []heartbeater.Peer { return r.heartbeater.Peers() },
		Announce: func() { r.heartbeater.Announce() },
	})
	r.heartbeater = heartbeater.New(ctx, heartbeater.Config{
		OwnBeat:       r.ownBeat,
		BeatReceived:  r.withholder.ApplyBeat,
		Clock:         r.cfg.Clock,
		DeclaredHosts: r.declaredHosts,
		SeedAddresses: s.Peers,
		HostList:      r.store,
		Exchange:      r.exchange,
	})
	r.group.Go(func() error {
		r.withholder.Keep(ctx)
		return nil
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

// ConfigurationVersion returns the version of the configuration in force on
// this router.
func (r *Router) ConfigurationVersion() int64 {
	return r.index().Version()
}

// TracksStream reports whether this router holds the record of a stream that
// another host serves.
func (r *Router) TracksStream(requestID string) bool {
	return r.tracker.Locate(requestID) != nil
}
