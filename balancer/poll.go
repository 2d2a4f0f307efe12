package balancer

import (
	"context"
	"log/slog"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

const (
	// pollInterval is the time between two polls of one host. It limits a host to 20 polls
	// per second regardless of the number of servers.
	pollInterval clocker.Millis = 50
	// minServerPollInterval is the minimum time between two polls of one server.
	minServerPollInterval clocker.Millis = 200
	// pollTimeout is the timeout of a poll.
	pollTimeout = 1 * clocker.Second
	// pollWorkers is the maximum number of concurrent polls.
	pollWorkers = 4
	// pollsPerEventQuery is the number of polls of a server of which one also queries its
	// cache events.
	pollsPerEventQuery = 4
)

// poll describes a query for the load report of a server, optionally with a query for its
// cache events.
type poll struct {
	name       string
	address    string
	withEvents bool
	// lastSequence is the sequence number of the last cache event that was fetched.
	lastSequence int64
}

// pollState tracks the polls of one server.
type pollState struct {
	lastPollAt   clocker.Millis
	count        int64
	lastSequence int64
	pending      bool
}

// startPolling starts a background task that selects the servers to poll and
// pollWorkers tasks that poll them.
func (b *Balancer) startPolling(ctx context.Context) {
	b.tasks.Go(func() error {
		for b.cfg.Clock.Sleep(ctx, pollInterval) == nil {
			if next, ok := b.nextPoll(); ok && !b.pollQueue.TryEnqueue(next) {
				b.finishPoll(next.name)
			}
		}
		return nil
	})
	for range pollWorkers {
		b.tasks.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case next := <-b.pollQueue.Items():
					b.runPoll(ctx, next)
				}
			}
		})
	}
}

// nextPoll selects the least recently polled server among those in use: the servers of
// the own availability zone, and those of other zones that have requests in flight or are
// ejected. It returns false if no poll is due.
func (b *Balancer) nextPoll() (poll, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.updateConfiguration(now)
	var oldest *messenger.BackendServer
	var state *pollState
	consider := func(d *messenger.BackendServer) {
		candidate := b.pollStateOf(d.Name)
		due := !candidate.pending && now-candidate.lastPollAt >= minServerPollInterval && !b.index.ServerLeaving(d.Name, now)
		if due && (state == nil || candidate.lastPollAt < state.lastPollAt) {
			oldest, state = d, candidate
		}
	}
	for _, d := range b.ownZoneServers {
		consider(d)
	}
	for _, name := range b.admission.RemoteServersInUse() {
		if d := b.index.BackendServer(name); d != nil {
			consider(d)
		}
	}
	if oldest == nil {
		return poll{}, false
	}
	state.pending = true
	state.lastPollAt = now
	state.count++
	events := state.count%pollsPerEventQuery == 1 && b.index.Service(oldest.Service).GetKind() == messenger.ServiceKind_LANGUAGE
	return poll{name: oldest.Name, address: oldest.Address, withEvents: events, lastSequence: state.lastSequence}, true
}

func (b *Balancer) pollStateOf(name string) *pollState {
	if b.pollStates[name] == nil {
		b.pollStates[name] = &pollState{}
	}
	return b.pollStates[name]
}

func (b *Balancer) finishPoll(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pollStateOf(name).pending = false
}

// runPoll runs a poll and records its result.
func (b *Balancer) runPoll(ctx context.Context, p poll) {
	pollCtx, cancel := b.cfg.Clock.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := b.cfg.LoadSource.FetchLoad(pollCtx, p.address)
	var events fetchedEvents
	if err == nil && p.withEvents {
		events = b.fetchEvents(pollCtx, p)
	}
	if ctx.Err() != nil {
		return
	}
	b.recordPollResult(p, report, events, err)
}

// fetchedEvents are the cache events that a poll fetched.
type fetchedEvents struct {
	events []picker.CacheEvent
	// restarted is true if the engine's events start anew: it is another incarnation.
	restarted bool
}

// fetchEvents fetches the cache events after the last one. That one is fetched again, since an engine that does
// not know it has restarted. Cache events are hints, so an error is ignored: the next such poll fetches them.
func (b *Balancer) fetchEvents(ctx context.Context, p poll) fetchedEvents {
	events, err := b.cfg.LoadSource.FetchCacheEvents(ctx, p.address, max(0, p.lastSequence-1))
	if err != nil {
		return fetchedEvents{}
	}
	isOld := func(e picker.CacheEvent) bool { return e.Sequence <= p.lastSequence }
	restarted := p.lastSequence > 0 && !slices.ContainsFunc(events, func(e picker.CacheEvent) bool { return e.Sequence >= p.lastSequence })
	return fetchedEvents{events: slices.DeleteFunc(events, isOld), restarted: restarted}
}

func (b *Balancer) recordPollResult(p poll, report picker.LoadReport, events fetchedEvents, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	state := b.pollStateOf(p.name)
	state.pending = false
	if picker.IsErrNoReport(err) {
		return
	}
	if err != nil {
		metrics.GetOrCreateCounter(`cowsliphinge_load_polls_failed_total`).Inc()
		b.trackEjection(p.name, func() { b.admission.RecordPollFailure(now, p.name) })
		return
	}
	b.admission.RecordLoadReport(now, p.name, report)
	if events.restarted {
		state.lastSequence = 0 // the next such poll fetches all events
	}
	for _, event := range events.events {
		b.admission.RecordCacheEvent(now, p.name, event)
		state.lastSequence = max(state.lastSequence, event.Sequence)
	}
}

// trackEjection runs a change, and logs and counts it if it ejects the server or ends its
// ejection.
func (b *Balancer) trackEjection(name string, change func()) {
	before := b.admission.Ejected(name)
	change()
	after := b.admission.Ejected(name)
	if before == after {
		return
	}
	if after {
		metrics.GetOrCreateCounter(`cowsliphinge_ejections_total`).Inc()
		slog.Warn("backend server ejected", "BackendServer", name)
		return
	}
	slog.Info("backend server back", "BackendServer", name)
}
