package demonstrator

import (
	"context"
	"slices"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
	"cowsliphinge/decoder"
	"cowsliphinge/examples"
	"cowsliphinge/loader"
	"cowsliphinge/messenger"
)

// Times of the scenario from the first request, in milliseconds.
const (
	declareAt   = 2 * clocker.Second
	startMoveAt = 3 * clocker.Second
	cutOffAt    = 7 * clocker.Second
	topUpAt     = 9 * clocker.Second
	killAt      = 10 * clocker.Second
	reconnectAt = 13 * clocker.Second
	// drainAfter is between the start of the move and the drain of its leavings.
	drainAfter = 20 * clocker.Second
	// versionInterval is how often the version in force is looked at.
	versionInterval = clocker.Second / 4
)

type step struct {
	at  clocker.Millis
	run func(ctx context.Context) error
}

// scenario runs its steps one by one, and the planned stops beside them.
func (d *demonstration) scenario(ctx context.Context) error {
	var stops errgroup.Group
	steps := []step{
		{declareAt, d.declareMove},
		{startMoveAt, func(ctx context.Context) error { return d.startMove(ctx, &stops) }},
		{cutOffAt, d.cutOff},
		{topUpAt, d.topUpInCut},
		{killAt, d.kill},
		{reconnectAt, d.reconnect},
	}
	for _, s := range steps {
		due := d.started + s.at - d.clock.Now()
		if due > 0 {
			if err := d.clock.Sleep(ctx, due); err != nil {
				return trace.Wrap(err)
			}
		}
		if err := s.run(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(stops.Wait())
}

// declareMove declares the arrivals and the move, and starts the new hosts.
func (d *demonstration) declareMove(ctx context.Context) error {
	d.say("declaring the move: %d hosts and %d backend servers leave, as many arrive",
		len(d.plan.move.LeavingHosts), len(d.plan.move.LeavingBackendServers))
	after := d.plan.version(d.fleet, true)
	after.Moves = append(after.Moves, d.move(messenger.MoveState_PLANNED))
	if err := d.apply(ctx, "declare", after, 1); err != nil {
		return trace.Wrap(err)
	}
	for _, name := range d.plan.move.ArrivingHosts {
		if err := d.fleet.StartHost(ctx, name); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// startMove starts the move; the leavings drain drainAfter later.
func (d *demonstration) startMove(ctx context.Context, stops *errgroup.Group) error {
	move := d.move(messenger.MoveState_STARTED)
	reply, err := d.fleet.Commander(d.stayingHost()).PutMove(ctx, &messenger.PutMoveRequest{
		OperationId:     "start",
		ExpectedVersion: 2,
		Move:            move,
		By:              "demo",
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := refusing(reply.Findings); err != nil {
		return trace.Wrap(err)
	}
	d.say("move started as version %d, leavings drain in %d s", reply.Version, drainAfter/clocker.Second)
	for _, name := range move.LeavingBackendServers {
		d.recorder.Record(checker.Entry{Leaving: &checker.Leaving{Server: name, At: clocker.Millis(move.DrainAtMs)}})
	}
	for _, name := range move.LeavingHosts {
		r := d.fleet.Routers()[name]
		stops.Go(func() error {
			select {
			case <-r.Leaving():
				d.drain(ctx, name)
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}
	return nil
}

func (d *demonstration) cutOff(context.Context) error {
	d.say("availability zone %s is cut off from the others and the platform", d.cutZone())
	d.fleet.CutOff(d.cutZone())
	return nil
}

func (d *demonstration) reconnect(context.Context) error {
	d.say("availability zone %s is back", d.cutZone())
	d.fleet.Reconnect(d.cutZone())
	return nil
}

func (d *demonstration) topUpInCut(ctx context.Context) error {
	budget := d.plan.before.ClientAccounts[0].Budget
	d.say("budget %s is topped up by %d tokens", budget, toppedUpTokens)
	return trace.Wrap(d.topUp(ctx, "during-cut", budget, toppedUpTokens))
}

// kill lets a host die that neither leaves nor is cut off.
func (d *demonstration) kill(context.Context) error {
	for _, h := range d.plan.before.Hosts {
		if slices.Contains(d.plan.move.LeavingHosts, h.Name) || h.AvailabilityZone == d.cutZone() || h.Name == d.stayingHost() {
			continue
		}
		d.say("host %s dies", h.Name)
		d.fleet.KillHost(h.Name)
		return nil
	}
	return nil
}

// drain stops a host gracefully and records it.
func (d *demonstration) drain(ctx context.Context, name string) {
	stop := &checker.Stop{Host: name, Address: d.fleet.CallerAddress(name), From: d.clock.Now()}
	clean := d.fleet.DrainHost(ctx, name)
	stop.Until = d.clock.Now()
	d.recorder.Record(checker.Entry{Stop: stop})
	d.say("host %s stopped, clean: %t", name, clean)
	d.count(clean)
}

func (d *demonstration) apply(ctx context.Context, operation string, declarations *messenger.Declarations, expected int64) error {
	sent := d.clock.Now()
	reply, err := d.fleet.Commander(d.stayingHost()).Apply(ctx, &messenger.ApplyRequest{
		OperationId:     operation,
		ExpectedVersion: expected,
		Declarations:    declarations,
		By:              "demo",
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := refusing(reply.Findings); err != nil {
		return trace.Wrap(err)
	}
	d.recorder.Record(checker.Entry{Apply: &checker.Apply{
		OperationID:     operation,
		ExpectedVersion: expected,
		Version:         reply.Version,
		SentAt:          sent,
		EndedAt:         d.clock.Now(),
	}})
	return nil
}

// refusing returns the findings that kept a command from taking effect.
func refusing(findings []*messenger.Finding) error {
	var stops []*messenger.Finding
	for _, f := range findings {
		if !f.Warning {
			stops = append(stops, f)
		}
	}
	if len(stops) == 0 {
		return nil
	}
	return decoder.ErrFindings{Findings: stops}
}

func (d *demonstration) topUp(ctx context.Context, operation, budget string, tokens int64) error {
	sent := d.clock.Now()
	_, err := d.fleet.Commander(d.stayingHost()).TopUp(ctx, &messenger.TopUpRequest{OperationId: operation, Budget: budget, Tokens: tokens, By: "demo"})
	d.recorder.Record(checker.Entry{TopUp: &checker.TopUp{
		OperationID: operation,
		Budget:      budget,
		Tokens:      tokens,
		SentAt:      sent,
		Confirmed:   err == nil,
	}})
	return trace.Wrap(err)
}

// watchVersions records the version in force at each host.
func (d *demonstration) watchVersions(ctx context.Context) {
	for d.clock.Sleep(ctx, versionInterval) == nil {
		for name, r := range d.fleet.Routers() {
			d.recorder.Record(checker.Entry{Version: &checker.Version{Host: name, At: d.clock.Now(), Version: r.ConfigurationVersion()}})
		}
	}
}

func (d *demonstration) move(state messenger.MoveState) *messenger.Move {
	m := proto.CloneOf(d.plan.move)
	now := int64(d.clock.Now())
	m.State = state
	m.StartAtMs = now
	m.DrainAtMs = now + int64(drainAfter)
	m.DueAtMs = m.DrainAtMs + int64(2*clocker.Minute)
	return m
}

// cutZone is the availability zone that is cut off: the third.
func (d *demonstration) cutZone() string {
	zones := zonesOf(d.plan.before)
	return zones[2]
}

// stayingHost is a host that operators talk to throughout.
func (d *demonstration) stayingHost() string {
	zone := zonesOf(d.plan.before)[3]
	for _, h := range d.plan.before.Hosts {
		if h.AvailabilityZone == zone {
			return h.Name
		}
	}
	return ""
}

func zonesOf(d *messenger.Declarations) []string {
	var zones []string
	for _, h := range d.Hosts {
		if !slices.Contains(zones, h.AvailabilityZone) {
			zones = append(zones, h.AvailabilityZone)
		}
	}
	return zones
}

// route stands for the balancer: a host that is not ready gets no callers.
func (d *demonstration) route(address string) string {
	ready := d.fleet.Listed()
	if len(ready) == 0 || slices.Contains(ready, address) {
		return address
	}
	return ready[d.turn.Add(1)%uint64(len(ready))]
}

// load is the callers' part: drafts or suggestions, and calls that must run once.
func (d *demonstration) load() loader.Plan {
	plan := loader.Plan{
		Name:              d.cfg.Deployment,
		DurationMs:        duration,
		RequestsPerSecond: requestsPerSecond,
		Arrivals:          loader.Poisson,
		Seed:              d.cfg.Seed,
	}
	for _, h := range d.plan.before.Hosts {
		plan.Callers = append(plan.Callers, d.fleet.CallerAddress(h.Name))
	}
	for _, a := range d.plan.before.ClientAccounts {
		plan.Accounts = append(plan.Accounts, loader.Account{
			Name:   a.Name,
			Key:    examples.Key(a.Name),
			Budget: a.Budget,
			Share:  float64(max(1, a.Weight)),
		})
	}
	for _, s := range d.plan.before.Services {
		plan.Mix = append(plan.Mix, d.kind(s))
	}
	for _, b := range d.fleet.Declarations.BackendServers {
		plan.BackendServers = append(plan.BackendServers, loader.BackendServer{Name: b.Name, Address: b.Address})
	}
	return plan
}

func (d *demonstration) kind(s *messenger.Service) loader.Kind {
	if s.Kind == messenger.ServiceKind_APPLICATION {
		return loader.Kind{
			Service:       s.Name,
			Share:         1,
			Path:          "/place",
			PromptBytes:   80,
			CallTokens:    s.TokensPerCall,
			NonIdempotent: !s.Idempotent,
			RepeatPercent: 30,
			RepeatAfterMs: 700,
		}
	}
	return loader.Kind{
		Service:     s.Name,
		Share:       3,
		Model:       d.plan.before.Models[0].Name,
		MaxTokens:   60,
		Stream:      true,
		PromptBytes: 200,
		SharedBytes: 400,
		Prefixes:    5,
	}
}
