// Package runner assembles and runs a router on the operators' platform. Routes and
// backend servers come from the platform's store, which also holds the budgets. A
// relayer serves the callers.
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

	"cowsliphinge/admitter"
	"cowsliphinge/carrier"
	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/heartbeater"
	"cowsliphinge/matcher"
	"cowsliphinge/messenger"
	"cowsliphinge/relayer"
	"cowsliphinge/reserver"
	"cowsliphinge/retrier"
	"cowsliphinge/tunneler"
	"cowsliphinge/watcher"
	"cowsliphinge/withholder"
)

const (
	// dialTimeout bounds the dial of a backend server, in milliseconds. It allows many
	// round trips between availability zones.
	dialTimeout = 250 * clocker.Millis(1)
	// backendIdleTimeout is how long an idle connection to a backend server is kept, in
	// milliseconds.
	backendIdleTimeout = 10 * clocker.Second
	// callerIdleTimeout is how long a caller's connection may be idle, in milliseconds.
	// It exceeds any idle limit that callers rely on.
	callerIdleTimeout = 5 * clocker.Minute
	// callerHeaderTimeout bounds the reading of a request's header, in milliseconds.
	callerHeaderTimeout = 10 * clocker.Second
	// maxCallerHeaderBytes bounds the header of a request.
	maxCallerHeaderBytes = 64 << 10
	// sweepInterval is the interval of the checks of readiness, idle connections and
	// missing servers, in milliseconds.
	sweepInterval = 200 * clocker.Millis(1)
	// batchDelayDivisor divides a time limit to get the batch delay for changes of the
	// store. The remaining time is for a slow store and for applying the changes.
	batchDelayDivisor = 5
	// serverBatchDelayDivisor is the same for entries of backend servers. Their batch
	// delay can be longer, since servers also announce in their responses that they
	// leave.
	serverBatchDelayDivisor = 3
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
	// stopDeadline is the time at which a planned stop aborts the requests in flight, in
	// milliseconds; 0 until the balancer has had time to detect the stop.
	stopDeadline atomic.Int64
	overloaded   atomic.Bool
	isolated     atomic.Bool
	// backendsCut is true while other hosts reach backend servers that this one does not.
	backendsCut atomic.Bool
	traffic     traffic
	table       atomic.Pointer[matcher.Table]
	startedAt   clocker.Millis
	// startedSinceBoot is startedAt as time since the boot of the machine, in milliseconds.
	startedSinceBoot clocker.Millis
	// exchangeAddress is where this host listens for other hosts.
	exchangeAddress string
	// inForceSince is when the table came into force, in milliseconds.
	inForceSince atomic.Int64
	// caughtUp is true once this host serves by the configuration in force.
	caughtUp atomic.Bool
	settings atomic.Pointer[Settings]
	// announcedVersion and announcedServers are the configuration version and the fingerprint
	// of the backend servers at the last comparison with other hosts.
	announcedVersion int64
	announcedServers uint64
	// newsStale is true while what other hosts tell of the store is too old to rely on.
	newsStale bool

	exchange      *exchanger.Client
	heartbeater   *heartbeater.Heartbeater
	reserver      atomic.Pointer[reserver.Reserver]
	backends      *backendPool
	origins       *streamOrigins
	withholder    *withholder.Withholder
	positions     sharePositions
	carrier       *carrier.Carrier
	detour        *detour
	tunnels       *tunneler.Server
	relayer       atomic.Pointer[relayer.Relayer]
	storeHealth   *watcher.StoreHealth
	serverWatcher atomic.Pointer[watcher.Watcher]

	configurationWatcher atomic.Pointer[watcher.Watcher]

	// memory bounds what this process holds for callers.
	memory      *admitter.Budget
	server      *http.Server
	callerConns *connTracker
	readyServer *http.Server
	peerServer  *exchanger.Server
}

// New opens the listeners and starts a router. It is ready for callers once a
// configuration and the backend servers are known.
func New(ctx context.Context, cfg Config) (*Runner, error) {
	listenConfig := net.ListenConfig{Control: limitCallerBuffers}
	callers, err := listenConfig.Listen(ctx, "tcp4", cfg.Settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	probes, err := net.Listen("tcp4", cfg.Settings.ReadyAddress)
	if err != nil {
		return nil, errors.Join(err, callers.Close())
	}
	peers, err := net.Listen("tcp4", cfg.Settings.exchangeListenAddress())
	if err != nil {
		return nil, errors.Join(err, callers.Close(), probes.Close())
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &Runner{cfg: cfg, startedAt: cfg.Clock.Now(), startedSinceBoot: sinceBoot(), cancel: cancel, incarnation: heartbeater.NewIncarnation(cfg.Settings.Host, cfg.Clock.Now())}
	r.exchangeAddress = peers.Addr().String()
	r.settings.Store(&cfg.Settings)
	r.exchange = exchanger.NewClient(exchanger.ClientConfig{RouterKey: cfg.Settings.RouterKey})
	r.origins = newStreamOrigins(r)
	r.backends = newBackendPool(cfg, r.origins, r.cacheTokens, r.fleetSize, r.sharePosition)
	r.withholder = r.newWithholder()
	r.backends.ended = r.withholder.Ended
	r.startMembership(ctx)
	r.group.Go(func() error {
		r.withholder.Keep(ctx)
		return nil
	})
	r.group.Go(func() error { return r.keepOrigins(ctx) })
	r.startWatchers(ctx)
	r.startBudgets(ctx)
	r.startDetour(ctx)
	r.startRelayer(ctx)
	r.serve(callers, probes, peers)
	cfg.Log.Info("started", "host", cfg.Settings.Host, "zone", cfg.Settings.AvailabilityZone, "incarnation", r.incarnation)
	return r, nil
}

// newWithholder returns the Withholder of this host. The heartbeater need not run yet.
func (r *Runner) newWithholder() *withholder.Withholder {
	return withholder.New(withholder.Config{
		Clock:    r.cfg.Clock,
		Log:      r.cfg.Log,
		Host:     r.cfg.Settings.Host,
		Store:    r.cfg.Platform.Store,
		StoreEra: r.cfg.Platform.StoreEra,
		Peers:    func() []heartbeater.Peer { return r.heartbeater.Peers() },
		Announce: func() { r.heartbeater.Announce() },
	})
}

// cacheTokens returns how many tokens a server of a service caches, 0 if unknown.
func (r *Runner) cacheTokens(service string) int {
	if t := r.table.Load(); t != nil {
		return t.Service(service).CacheTokens
	}
	return 0
}

// fleetSize returns the number of known hosts with this one, 0 before the host list was read.
// Hosts that are silent count: they may be cut off from this one alone.
func (r *Runner) fleetSize() int {
	if !r.heartbeater.HostListRead() {
		return 0
	}
	return len(r.heartbeater.Peers()) + 1
}

func (r *Runner) startWatchers(ctx context.Context) {
	r.storeHealth = watcher.NewStoreHealth(r.cfg.Clock)
	kind, _, _ := strings.Cut(r.cfg.Platform.ConfigurationKey, "/")
	// A watch may hang after the store compacts its change history. The configuration
	// watch gets the shorter timeout, since a configuration must be in force soon afterwards, while
	// leaving servers are also detected by requests.
	r.configurationWatcher.Store(r.newWatcher(ctx, watcher.Config{
		Kind:             kind,
		Sink:             &configurationSink{platform: r.cfg.Platform, clock: r.cfg.Clock, log: r.cfg.Log, table: &r.table, inForceSince: &r.inForceSince},
		WatchTimeoutFunc: r.configurationTimeout,
		BatchDelay:       r.cfg.Settings.ConfigurationMs / batchDelayDivisor,
		ProbesStore:      true,
		RetryInterval:    r.storeRetryInterval,

		RelistAfterBurst: true,
	}))
	r.serverWatcher.Store(r.newWatcher(ctx, watcher.Config{
		Kind:             r.cfg.Platform.ServerKind,
		Sink:             r.backends,
		WatchTimeoutFunc: r.serversTimeout,
		BatchDelay:       r.cfg.Settings.LeaveMs / serverBatchDelayDivisor,
		RemovalDeadline:  r.cfg.Settings.LeaveMs,
		RecoveryTime:     r.cfg.Settings.SteadyMs,
	}))
	r.group.Go(func() error {
		r.relistWhenBehindPeers(ctx)
		return nil
	})
}

// newWatcher starts a watcher that ends with ctx.
func (r *Runner) newWatcher(ctx context.Context, cfg watcher.Config) *watcher.Watcher {
	cfg.Source = r.cfg.Platform.Store
	cfg.Clock = r.cfg.Clock
	cfg.Health = r.storeHealth
	cfg.Log = r.cfg.Log
	return watcher.New(ctx, cfg)
}

// startDetour prepares connections through other hosts, and those of other hosts through this one.
func (r *Runner) startDetour(ctx context.Context) {
	r.detour = newDetour(ctx, detourConfig{
		Clock:            r.cfg.Clock,
		Log:              r.cfg.Log,
		AvailabilityZone: r.cfg.Settings.AvailabilityZone,
		RouterKey:        r.cfg.Settings.RouterKey,
		Peers:            r.heartbeater.Peers,
		Servers:          r.backends.targets,
		Changed: func(cut bool) {
			r.backendsCut.Store(cut)
			r.heartbeater.Announce()
			if cut {
				r.backends.forgetFailures()
			}
		},
		DialTimeout: dialTimeout,
		DialServer:  carrier.DialDirect,
		DialHost:    carrier.DialDirect,
	})
	r.tunnels = tunneler.NewServer(tunneler.ServerConfig{
		Dial:      r.detour.dialForOthers,
		IsServer:  r.backends.isServerAddress,
		Accepts:   func() bool { return !r.draining.Load() && !r.backendsCut.Load() },
		Forwarded: r.traffic.Sent,
	})
}

func (r *Runner) startRelayer(ctx context.Context) {
	s := r.cfg.Settings
	r.carrier = carrier.New(carrier.Config{
		Clock:           r.cfg.Clock,
		RequestIDHeader: r.cfg.Platform.Dialect.RequestID,
		DialTimeout:     dialTimeout,
		IdleTimeout:     backendIdleTimeout,
		Traffic:         &r.traffic,
		Dialer:          r.detour,
		Identity:        r.cfg.Platform.Identity,
		Restarted:       r.backends.restarted,
		Leaving:         r.backends.Leaving,
	})
	r.relayer.Store(relayer.New(relayer.Config{
		Clock:       r.cfg.Clock,
		HeaderNames: r.cfg.Platform.Dialect,
		Table:       r.servingTable,
		ConfigurationNews: func() relayer.ConfigurationNews {
			return relayer.ConfigurationNews{InForceSince: clocker.Millis(r.inForceSince.Load()), NewestVersion: r.heartbeater.NewestVersion()}
		},
		Servers: r.backends,
		Budgets: r.reserver.Load(),
		Retries: retrier.NewRetryWindow(retrier.RetryWindowConfig{
			Clock: r.cfg.Clock,
			Span:  s.RetryWindowMs,
			Ratio: func() float64 { return r.settings.Load().RetryRatio },
			Extra: func() float64 { return r.settings.Load().RetryExtra },
			Hosts: func() int { return len(r.heartbeater.Peers()) + 1 },
		}),
		Quarantine:   r.withholder,
		Origins:      r.origins,
		Carrier:      r.carrier,
		MoveCallers:  func() bool { return r.draining.Load() || r.overloaded.Load() || r.isolated.Load() },
		StopDeadline: func() clocker.Millis { return clocker.Millis(r.stopDeadline.Load()) },
		Log:          r.cfg.Log,
	}))
	r.group.Go(func() error {
		r.monitorLoad(ctx)
		return nil
	})
	r.group.Go(func() error {
		ready := false
		for r.cfg.Clock.Sleep(ctx, sweepInterval) == nil {
			r.updateIsolation()
			if current := r.Ready(); current != ready {
				ready = current
				r.cfg.Log.Info("readiness changed", "ready", ready, "draining", r.draining.Load(), "overloaded", r.overloaded.Load(), "servers_listed", r.backends.listedOnce())
			}
			r.backends.expire()
			r.detour.probe()
			r.carrier.PruneIdle(r.backends.known)
		}
		return nil
	})
}

// Ready reports whether this host accepts callers.
func (r *Runner) Ready() bool {
	return !r.draining.Load() && !r.overloaded.Load() && !r.isolated.Load() && r.servingTable() != nil && r.backends.listedOnce()
}

func (r *Runner) serve(callers, probes, peers net.Listener) {
	r.memory = admitter.New(memoryConfig(r.cfg))
	r.callerConns = newBoundedConnTracker(connTrackerConfig{
		Clock:    r.cfg.Clock,
		MaxConns: maxCallerConns(r.cfg.Settings),
		Stall:    callerStall(r.cfg.Settings),
		Memory:   r.memory,
	})
	r.server = &http.Server{
		Handler:           r.callerConns.wrap(r.relayer.Load()),
		ConnContext:       r.callerConns.connContext,
		ConnState:         r.callerConns.connState,
		ReadHeaderTimeout: callerHeaderTimeout.Duration(),
		IdleTimeout:       callerIdleTimeout.Duration(),
		MaxHeaderBytes:    maxCallerHeaderBytes,
		ErrorLog:          slog.NewLogLogger(r.cfg.Log.Handler(), slog.LevelDebug),
	}
	probeConns := newBoundedConnTracker(connTrackerConfig{Clock: r.cfg.Clock, MaxConns: maxProbeConns})
	r.readyServer = &http.Server{
		Handler:        probeConns.wrap(http.HandlerFunc(r.serveReadiness)),
		ConnContext:    probeConns.connContext,
		ConnState:      probeConns.connState,
		ReadTimeout:    callerHeaderTimeout.Duration(),
		WriteTimeout:   callerHeaderTimeout.Duration(),
		IdleTimeout:    callerIdleTimeout.Duration(),
		MaxHeaderBytes: maxProbeHeaderBytes,
		ErrorLog:       slog.NewLogLogger(r.cfg.Log.Handler(), slog.LevelDebug),
	}
	r.peerServer = exchanger.NewServer(exchanger.ServerConfig{
		RouterKey:        r.cfg.Settings.RouterKey,
		HeartbeatHandler: r.heartbeater,
		TransferHandler:  r.reserver.Load(),
		OriginKeeper:     r.origins,
		Tunnels:          r.tunnels,
		Ready:            r.Ready,
		MemoryMb:         r.cfg.Settings.MemoryMb,
		MaxDescriptors:   r.cfg.Settings.MaxDescriptors,
	})
	r.group.Go(func() error {
		return serveErr(r.server.Serve(callerListener{Listener: callers, traffic: &r.traffic, tracker: r.callerConns}))
	})
	r.group.Go(func() error {
		return serveErr(r.readyServer.Serve(callerListener{Listener: probes, traffic: &traffic{}, tracker: probeConns}))
	})
	r.group.Go(func() error { return r.peerServer.Serve(peers) })
}

// serveReadiness serves the readiness probes of the platform's balancer.
func (r *Runner) serveReadiness(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != r.cfg.Platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func serveErr(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// heartbeat returns the heartbeat message of this host.
func (r *Runner) heartbeat() *messenger.Beat {
	s := r.cfg.Settings
	beat := &messenger.Beat{
		Incarnation:      r.incarnation,
		Host:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		ExchangeAddress:  s.ExchangeAddress,
		CallerAddress:    s.CallerAddress,
		Draining:         r.draining.Load(),
		BackendsCut:      r.backendsCut.Load(),
		CapacityMilli:    s.capacityMilli(),
		Witnesses:        true,
		SentAtMs:         int64(r.cfg.Clock.Now()),
	}
	if t := r.table.Load(); t != nil {
		beat.ConfigurationVersion = t.Version
	}
	beat.ServersFingerprint = r.backends.currentFingerprint()
	beat.Limits = r.backends.serverLimits()
	beat.Brittleness = r.backends.brittleness()
	beat.Speeds = r.backends.serverSpeeds()
	r.withholder.AddToBeat(beat)
	if w := r.serverWatcher.Load(); w != nil {
		beat.ServersRevision = w.LastRevision()
	}
	if budgets := r.reserver.Load(); budgets != nil {
		beat.HeldTokens = budgets.HeldTokens()
	}
	if relay := r.relayer.Load(); relay != nil {
		beat.InFlight = relay.InFlight()
	}
	return beat
}
