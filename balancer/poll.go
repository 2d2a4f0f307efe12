package balancer

import (
	"context"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
)

const (
	// pollInterval is the time between two load queries of one router, so that
	// they stay at 20 a second whatever the size of the fleet.
	pollInterval clocker.Millis = 50
	// pollAgain is the least time between two load queries to one server.
	pollAgain clocker.Millis = 200
	// pollTimeout ends a load query.
	pollTimeout = 1 * clocker.Second
	// pollWorkers is how many load queries may be open at once.
	pollWorkers = 4
	// eventsEvery is how many load queries go by for one of cache events.
	eventsEvery = 4
)

// poll is one load query to be made.
type poll struct {
	name    string
	address string
	events  bool
	after   int64
}

// polled is what was asked of one server so far.
type polled struct {
	at       clocker.Millis
	count    int64
	sequence int64
	open     bool
}

// startPolling starts one duty that chooses whom to ask and some that ask.
func (b *Balancer) startPolling(ctx context.Context) {
	b.duties.Go(func() error {
		for b.cfg.Clock.Sleep(ctx, pollInterval) == nil {
			if next, ok := b.nextPoll(); ok && !b.polls.Offer(next) {
				b.closePoll(next.name)
			}
		}
		return nil
	})
	for range pollWorkers {
		b.duties.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case next := <-b.polls.Items():
					b.ask(ctx, next)
				}
			}
		})
	}
}

// nextPoll returns the server that was asked longest ago among those in use:
// the own availability zone, servers with requests in flight, ejected ones.
func (b *Balancer) nextPoll() (poll, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	b.sync(now)
	var oldest *messenger.BackendServer
	var state *polled
	consider := func(d *messenger.BackendServer) {
		known := b.polledOf(d.Name)
		due := !known.open && now-known.at >= pollAgain && !b.index.ServerLeaving(d.Name, now)
		if due && (state == nil || known.at < state.at) {
			oldest, state = d, known
		}
	}
	for _, d := range b.near {
		consider(d)
	}
	for _, name := range b.gate.RemoteServersInUse() {
		if d := b.index.BackendServer(name); d != nil {
			consider(d)
		}
	}
	if oldest == nil {
		return poll{}, false
	}
	state.open = true
	state.at = now
	state.count++
	events := state.count%eventsEvery == 1 && b.index.Service(oldest.Service).GetKind() == messenger.ServiceKind_LANGUAGE
	return poll{name: oldest.Name, address: oldest.Address, events: events, after: state.sequence}, true
}

func (b *Balancer) polledOf(name string) *polled {
	if b.polled[name] == nil {
		b.polled[name] = &polled{}
	}
	return b.polled[name]
}

func (b *Balancer) closePoll(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.polledOf(name).open = false
}

// ask makes a load query and hands what it brought to the deciders.
func (b *Balancer) ask(ctx context.Context, next poll) {
	bounded, cancel := b.cfg.Clock.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := b.cfg.LoadSource.LoadReport(bounded, next.address)
	var events []picker.CacheEvent
	if err == nil && next.events {
		// Cache events are hints: without them the next ones come later.
		events, _ = b.cfg.LoadSource.CacheEvents(bounded, next.address, next.after)
	}
	if ctx.Err() != nil {
		return
	}
	b.learn(next, report, events, err)
}

func (b *Balancer) learn(next poll, report picker.LoadReport, events []picker.CacheEvent, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock.Now()
	state := b.polledOf(next.name)
	state.open = false
	if picker.IsErrNoReport(err) {
		return
	}
	if err != nil {
		metrics.GetOrCreateCounter(`cowsliphinge_load_polls_failed_total`).Inc()
		b.watchEjection(next.name, func() { b.gate.RecordLoadQueryFailure(now, next.name) })
		return
	}
	b.gate.RecordLoadReport(now, next.name, report)
	for _, event := range events {
		b.gate.RecordCacheEvent(now, next.name, event)
		state.sequence = max(state.sequence, event.Sequence)
	}
}

// watchEjection runs a change and tells if it ejected a server or let it back.
func (b *Balancer) watchEjection(name string, change func()) {
	before := b.gate.Ejected(name)
	change()
	after := b.gate.Ejected(name)
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
