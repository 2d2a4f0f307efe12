// Package runner assembles a router on the operators' platform from its parts and
// runs it: routes and backend servers come from the platform's store, budgets are
// kept there, and callers are served by a relayer.
package runner

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"cowsliphinge/carrier"
	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/heartbeater"
	"cowsliphinge/matcher"
	"cowsliphinge/messenger"
	"cowsliphinge/relayer"
	"cowsliphinge/reserver"
	"cowsliphinge/retrier"
	"cowsliphinge/watcher"
)

const (
	// dialTimeout bounds a connection to a backend server, in milliseconds: many
	// round trips between availability zones.
	dialTimeout = 250 * clocker.Millis(1)
	// idleConnFor is how long a connection to a backend server is kept, in
	// milliseconds.
	idleConnFor = 10 * clocker.Second
	// callerIdleFor is how long a caller's connection may be idle, in milliseconds:
	// longer than any limit that callers rely on.
	callerIdleFor = 5 * clocker.Minute
	// callerHeaderTime bounds the reading of a request's head, in milliseconds.
	callerHeaderTime = 10 * clocker.Second
	// maxCallerHeaderBytes bounds the head of a request.
	maxCallerHeaderBytes = 64 << 10
	// sweepPause is the time between two looks at idle connections and missing
	// servers, in milliseconds.
	sweepPause = 200 * clocker.Millis(1)
	// gatherPart is the part of a bound during which changes of the store are
	// gathered: the rest is for a slow store and for what follows.
	gatherPart = 5
	// serversPart is the same for entries of backend servers, which also say in their
	// answers that they leave.
	serversPart = 3
)

// Config configures a Runner.
type Config struct {
	Settings Settings
	Platform Platform
	Clock    *clocker.Clock
	Log      *slog.Logger
}

// Runner is one running router.
type Runner struct {
	cfg         Config
	incarnation string
	cancel      context.CancelFunc
	group       errgroup.Group
	draining    atomic.Bool
	// cutAt is when a planned stop cuts the requests in flight, in milliseconds; 0 before
	// the balancer can have noticed the stop.
	cutAt      atomic.Int64
	overloaded atomic.Bool
	isolated   atomic.Bool
	traffic    traffic
	table      atomic.Pointer[matcher.Table]
	settings   atomic.Pointer[Settings]

	exchange    *exchanger.Client
	heartbeater *heartbeater.Heartbeater
	reserver    atomic.Pointer[reserver.Reserver]
	backends    *backends
	carrier     *carrier.Carrier
	relayer     atomic.Pointer[relayer.Relayer]
	health      *watcher.Health
	servers     atomic.Pointer[watcher.Watcher]

	callers *http.Server
	conns   *callers
	probes  *http.Server
	peers   *exchanger.Server
}

// New opens the listeners and starts a router. It is ready for callers once a
// configuration and the backend servers are known.
func New(ctx context.Context, cfg Config) (*Runner, error) {
	callers, err := net.Listen("tcp4", cfg.Settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	probes, err := net.Listen("tcp4", cfg.Settings.ReadyAddress)
	if err != nil {
		return nil, errors.Join(err, callers.Close())
	}
	peers, err := net.Listen("tcp4", cfg.Settings.ExchangeAddress)
	if err != nil {
		return nil, errors.Join(err, callers.Close(), probes.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Runner{cfg: cfg, cancel: cancel, incarnation: heartbeater.NewIncarnation(cfg.Settings.Host, cfg.Clock.Now())}
	r.settings.Store(&cfg.Settings)
	r.exchange = exchanger.NewClient(exchanger.ClientConfig{RouterKey: cfg.Settings.RouterKey})
	r.backends = newBackends(cfg, r.cacheTokens)
	r.startMembership(ctx)
	r.startWatchers(ctx)
	r.startBudgets(ctx)
	r.startRelay(ctx)
	r.serve(callers, probes, peers)
	cfg.Log.Info("started", "host", cfg.Settings.Host, "zone", cfg.Settings.AvailabilityZone, "incarnation", r.incarnation)
	return r, nil
}

// cacheTokens returns how many tokens a server of a service keeps, 0 if unknown.
func (r *Runner) cacheTokens(service string) int {
	if t := r.table.Load(); t != nil {
		return t.Service(service).CacheTokens
	}
	return 0
}

func (r *Runner) startWatchers(ctx context.Context) {
	r.health = watcher.NewHealth(r.cfg.Clock)
	kind, _, _ := strings.Cut(r.cfg.Platform.Configuration, "/")
	// A store that drops its history may leave a watch hanging: a configuration has
	// to be in force soon after, while servers that leave also show by requests.
	configurations := r.watch(ctx, watcher.Config{
		Kind:   kind,
		Sink:   &configurations{platform: r.cfg.Platform, log: r.cfg.Log, table: &r.table},
		Waits:  r.waits(r.cfg.Settings.ConfigurationMs),
		Gather: r.cfg.Settings.ConfigurationMs / gatherPart,
		Probes: true,

		ListBursts: true,
	})
	r.servers.Store(r.watch(ctx, watcher.Config{
		Kind:   r.cfg.Platform.Servers,
		Sink:   r.backends,
		Waits:  r.waits(r.cfg.Settings.SteadyMs),
		Gather: r.cfg.Settings.LeaveMs / serversPart,
		Leave:  r.cfg.Settings.LeaveMs,
		Steady: r.cfg.Settings.SteadyMs,
	}))
	r.group.Go(func() error {
		r.compare(ctx, configurations)
		return nil
	})
}

// watch starts a watcher that ends with ctx.
func (r *Runner) watch(ctx context.Context, cfg watcher.Config) *watcher.Watcher {
	cfg.Source = r.cfg.Platform.Store
	cfg.Clock = r.cfg.Clock
	cfg.Health = r.health
	cfg.Log = r.cfg.Log
	return watcher.New(ctx, cfg)
}

func (r *Runner) startRelay(ctx context.Context) {
	s := r.cfg.Settings
	r.carrier = carrier.New(carrier.Config{
		Clock:           r.cfg.Clock,
		RequestIDHeader: r.cfg.Platform.Dialect.RequestID,
		DialTimeout:     dialTimeout,
		IdleTimeout:     idleConnFor,
		Traffic:         &r.traffic,
	})
	r.relayer.Store(relayer.New(relayer.Config{
		Clock:       r.cfg.Clock,
		HeaderNames: r.cfg.Platform.Dialect,
		Table:       r.table.Load,
		Servers:     r.backends,
		Budgets:     r.reserver.Load(),
		Retries: retrier.NewRetryWindow(retrier.RetryWindowConfig{
			Clock: r.cfg.Clock,
			Span:  s.RetryWindowMs,
			Ratio: func() float64 { return r.settings.Load().RetryRatio },
			Extra: func() float64 { return r.settings.Load().RetryExtra },
			Hosts: func() int { return len(r.heartbeater.Peers()) + 1 },
		}),
		Carrier:      r.carrier,
		Draining:     func() bool { return r.draining.Load() || r.overloaded.Load() || r.isolated.Load() },
		StopDeadline: func() clocker.Millis { return clocker.Millis(r.cutAt.Load()) },
		Log:          r.cfg.Log,
	}))
	r.group.Go(func() error {
		r.watchLoad(ctx)
		return nil
	})
	r.group.Go(func() error {
		ready := false
		for r.cfg.Clock.Sleep(ctx, sweepPause) == nil {
			r.watchIsolation()
			if now := r.Ready(); now != ready {
				ready = now
				r.cfg.Log.Info("readiness changed", "ready", ready, "draining", r.draining.Load(), "overloaded", r.overloaded.Load(), "servers_listed", r.backends.ready())
			}
			r.backends.expire()
			r.carrier.PruneIdle(r.backends.known)
		}
		return nil
	})
}

// Ready reports whether this host takes callers.
func (r *Runner) Ready() bool {
	return !r.draining.Load() && !r.overloaded.Load() && !r.isolated.Load() && r.table.Load() != nil && r.backends.ready()
}

func (r *Runner) serve(callers, probes, peers net.Listener) {
	r.conns = newCallers()
	r.callers = &http.Server{
		Handler:           r.conns.guard(r.relayer.Load()),
		ConnContext:       r.conns.attach,
		ConnState:         r.conns.follow,
		ReadHeaderTimeout: callerHeaderTime.Duration(),
		IdleTimeout:       callerIdleFor.Duration(),
		MaxHeaderBytes:    maxCallerHeaderBytes,
		ErrorLog:          slog.NewLogLogger(r.cfg.Log.Handler(), slog.LevelDebug),
	}
	r.probes = &http.Server{Handler: http.HandlerFunc(r.answerProbe), ReadHeaderTimeout: callerHeaderTime.Duration()}
	r.peers = exchanger.NewServer(exchanger.ServerConfig{
		RouterKey:   r.cfg.Settings.RouterKey,
		Beater:      r.heartbeater,
		Transferrer: r.reserver.Load(),
		Ready:       r.Ready,
	})
	r.group.Go(func() error { return served(r.callers.Serve(countingListener{Listener: callers, traffic: &r.traffic})) })
	r.group.Go(func() error { return served(r.probes.Serve(probes)) })
	r.group.Go(func() error { return r.peers.Serve(peers) })
}

// answerProbe answers the platform's balancer.
func (r *Runner) answerProbe(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != r.cfg.Platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func served(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// beat is the heartbeat of this host.
func (r *Runner) beat() *messenger.Beat {
	s := r.cfg.Settings
	beat := &messenger.Beat{
		Incarnation:      r.incarnation,
		Host:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		ExchangeAddress:  s.ExchangeAddress,
		CallerAddress:    s.CallerAddress,
		Draining:         r.draining.Load(),
		SentAtMs:         int64(r.cfg.Clock.Now()),
	}
	if t := r.table.Load(); t != nil {
		beat.ConfigurationVersion = t.Version
	}
	beat.ServersFingerprint = r.backends.fingerprint()
	if w := r.servers.Load(); w != nil {
		beat.ServersRevision = w.AsOf()
	}
	if budgets := r.reserver.Load(); budgets != nil {
		beat.HeldTokens = budgets.HeldTokens()
	}
	if relay := r.relayer.Load(); relay != nil {
		beat.InFlight = relay.InFlight()
	}
	return beat
}
