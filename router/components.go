package router

import (
	"context"
	"crypto/tls"

	"cowsliphinge/balancer"
	"cowsliphinge/biller"
	"cowsliphinge/claimer"
	"cowsliphinge/clocker"
	"cowsliphinge/commander"
	"cowsliphinge/dispatcher"
	"cowsliphinge/exchanger"
	"cowsliphinge/forwarder"
	"cowsliphinge/indexer"
	"cowsliphinge/listener"
	"cowsliphinge/messenger"
	"cowsliphinge/querier"
	"cowsliphinge/reserver"
	"cowsliphinge/retrier"
	"cowsliphinge/sampler"
	"cowsliphinge/tracker"
)

// index returns the configuration in force.
func (r *Router) index() *indexer.Index {
	if s := r.spreader.Load(); s != nil {
		return s.Index()
	}
	return indexer.New(&messenger.Configuration{})
}

func (r *Router) policy() *messenger.Policy {
	return r.index().Policy
}

func (r *Router) declaredHosts() []*messenger.Host {
	return r.index().Hosts()
}

// alive reports whether an incarnation is a known peer and not suspect.
func (r *Router) alive(incarnation string) bool {
	for _, peer := range r.heartbeater.Peers() {
		if peer.Incarnation == incarnation {
			return !peer.Suspect
		}
	}
	return false
}

// mayBeAlive reports whether an incarnation is a known peer, suspect or not,
// that no newer incarnation of its host has replaced.
func (r *Router) mayBeAlive(incarnation string) bool {
	for _, peer := range r.heartbeater.Peers() {
		if peer.Incarnation == incarnation {
			return true
		}
	}
	return false
}

// ownBeat returns the heartbeat of this router. Fields that need components
// that haven't started yet are empty.
func (r *Router) ownBeat() *messenger.Beat {
	s := r.cfg.Settings
	beat := &messenger.Beat{
		Incarnation:          r.incarnation,
		Host:                 s.Host,
		AvailabilityZone:     s.AvailabilityZone,
		ExchangeAddress:      s.ExchangeAddress,
		CallerAddress:        s.CallerAddress,
		ConfigurationVersion: r.index().Version(),
		SentAtMs:             int64(r.cfg.Clock.Now()),
	}
	r.withholder.AddToBeat(beat)
	if !r.componentsStarted.Load() {
		return beat
	}
	beat.Draining = !r.ready.Load()
	beat.InFlight = r.dispatcher.InFlight()
	beat.HeldTokens = r.reserver.HeldTokens()
	beat.LeavingInFlight = r.leavingInFlight()
	beat.RequestsCut = r.requestsCut.Load()
	beat.PlatformReachable = r.spreader.Load().PlatformReachable()
	return beat
}

func (r *Router) startRequestHandling(ctx context.Context) {
	s := r.cfg.Settings
	clock := r.cfg.Clock
	r.reserver = reserver.New(ctx, reserver.Config{
		Incarnation:      r.incarnation,
		Host:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		Clock:            clock,
		Store:            r.store,
		Exchange:         r.exchange,
		Peers:            r.heartbeater.Peers,
		Policy:           r.policy,
		DeclaredBudgets:  func() []string { return r.index().Budgets() },
	})
	r.claimer = claimer.New(ctx, claimer.Config{
		Incarnation: r.incarnation,
		Clock:       clock,
		Store:       r.store,
		Alive:       r.alive,
		MayBeAlive:  r.mayBeAlive,
		Retention:   func() clocker.Millis { return clocker.Millis(r.policy().AnswerRetentionMs) },
	})
	r.biller = biller.New(ctx, biller.Config{
		Incarnation:      r.incarnation,
		Host:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		Clock:            clock,
		Store:            r.store,
		Exchange:         r.exchange,
		Peers:            r.heartbeater.Peers,
	})
	r.balancer = balancer.New(ctx, balancer.Config{
		AvailabilityZone: s.AvailabilityZone,
		Clock:            clock,
		Index:            r.index,
		LoadSource:       sampler.New(sampler.Config{Clock: clock, Client: r.connector}),
		Seed:             uint64(clock.Now()),
	})
	r.tracker = tracker.New(ctx, tracker.Config{
		Incarnation:      r.incarnation,
		Host:             s.Host,
		AvailabilityZone: s.AvailabilityZone,
		Clock:            clock,
		Peers:            r.heartbeater.Peers,
		Replaced:         r.heartbeater.Replaced,
		Exchange:         r.exchange,
		Biller:           r.biller,
		Canceller:        dispatcher.Canceller{Connector: r.connector, Clock: clock},
	})
	r.dispatcher = dispatcher.New(dispatcher.Config{
		Incarnation: r.incarnation,
		Clock:       clock,
		Index:       r.index,
		Reserver:    r.reserver,
		Claimer:     r.claimer,
		Biller:      r.biller,
		Balancer:    r.balancer,
		Retrier: retrier.NewRetryBudget(retrier.RetryBudgetConfig{
			Percent: func() int64 { return r.policy().RetryPercent },
			Seed:    uint64(clock.Now()),
		}),
		Connector:  r.connector,
		Refuses:    r.connector.Refuses,
		Quarantine: r.withholder,
		Forwarder:  forwarder.New(forwarder.Config{Clock: clock, Peers: r.heartbeater.Peers, TLS: r.callerTLS, MayCall: r.reaches}),
		Tracker:    r.tracker,
	})
	r.componentsStarted.Store(true)
}

func (r *Router) startListeners(callerTLS, exchangeTLS *tls.Config) {
	s := r.cfg.Settings
	r.listener = listener.New(listener.Config{
		Clock:          r.cfg.Clock,
		Index:          r.index,
		Dispatcher:     r.dispatcher,
		Tickets:        r.claimer,
		Bills:          r.biller,
		Ready:          r.Ready,
		TLS:            callerTLS,
		MaxBodyBytes:   s.MaxBodyBytes,
		MaxConnections: maxConnections(s, maxDescriptors()),
		Memory:         newMemoryBudget(s, r.cfg.Log),
		BoundsBuffers:  s.MemoryMb > 0,
	})
	spreader := r.spreader.Load()
	r.commander = commander.New(commander.Config{Spreader: spreader, TopUpper: r.reserver, Planner: r.mover})
	r.server = exchanger.NewServer(exchanger.ServerConfig{
		OperatorKey:           s.OperatorKey,
		RouterKey:             s.RouterKey,
		TLS:                   exchangeTLS,
		HeartbeatHandler:      r.heartbeater,
		TransferHandler:       r.reserver,
		ConfigurationProvider: spreader,
		BillCopyHandler:       r.biller,
		StreamTracker:         r.tracker,
		Commander:             r.commander,
		Querier: querier.New(querier.Config{
			Spreader: spreader,
			Budgets:  r.reserver,
			Bills:    r.biller,
			Servers:  r.balancer,
			Moves:    r.mover,
			Self:     r.ownBeat,
			Peers:    r.heartbeater.Peers,
		}),
		Ready:    r.Ready,
		MemoryMb: s.MemoryMb,
	})
}
