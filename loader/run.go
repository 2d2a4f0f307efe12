package loader

import (
	"context"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
)

const (
	// defaultMaxInFlight bounds open requests.
	defaultMaxInFlight = 2000
	// progressInterval is how often progress is told, in milliseconds.
	progressInterval = 1 * clocker.Second
	// settleBound is how long requests may still run after the last was sent,
	// in milliseconds.
	settleBound = 2 * clocker.Minute
)

// Config configures a run.
type Config struct {
	Plan  Plan
	Clock *clocker.Clock
	// Recorder gets the history; nil keeps it in memory only.
	Recorder *checker.Recorder
	// Route stands for the balancer before the hosts: it returns the address to
	// use in place of the scheduled one; nil keeps that.
	Route func(address string) string
	// Progress gets a line a second; nil tells none.
	Progress io.Writer
	// Settle is called once all requests ended, before the platform is read;
	// nil does nothing.
	Settle func(ctx context.Context) error
	// Store is read for bills and budgets; nil means that of the plan's
	// PlatformURL.
	Store Store
}

// Report is what a run measured.
type Report struct {
	Name string
	Seed uint64
	// DurationMs is from the first request until the last answer.
	DurationMs clocker.Millis
	Sent       int64
	// Shed arrivals were not sent, because too many requests were open.
	Shed          int64
	FirstToken    Latency
	BetweenTokens Latency
	WholeAnswer   Latency
	Outcomes      []Count
	Codes         []Count
	Spend         []Spend
	// Platform counts the calls that the fleet made to the platform meanwhile,
	// if that is known.
	Platform []Count `json:",omitempty"`
	Verdict  checker.Verdict
}

// Spend is what a client account was served against its budget, in tokens.
type Spend struct {
	ClientAccount string
	Budget        string
	Granted       int64
	Served        int64
}

// Run sends the load of a plan and returns once each request ended. It fails
// with ErrPlan if the plan is not valid.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if err := cfg.Plan.Validate(); err != nil {
		return Report{}, trace.Wrap(err)
	}
	if cfg.Recorder == nil {
		cfg.Recorder = checker.NewRecorder(nil)
	}
	if cfg.Plan.MaxInFlight == 0 {
		cfg.Plan.MaxInFlight = defaultMaxInFlight
	}
	r := &runner{cfg: cfg, measures: newMeasures(), start: moment{millis: cfg.Clock.Now(), micros: cfg.Clock.NowMicros()}}
	r.caller = newCaller(cfg.Clock, r.measures)
	r.declare()
	if err := r.run(ctx); err != nil {
		return Report{}, trace.Wrap(err)
	}
	if err := r.collect(ctx); err != nil {
		return Report{}, trace.Wrap(err)
	}
	return r.report()
}

// moment is one point in time at both resolutions.
type moment struct {
	millis clocker.Millis
	micros int64
}

type runner struct {
	cfg      Config
	measures *measures
	caller   *caller
	start    moment
	end      clocker.Millis
}

// declare records what the plan tells of budgets and services.
func (r *runner) declare() {
	seen := map[string]bool{}
	for _, a := range r.cfg.Plan.Accounts {
		if a.Granted > 0 && !seen[a.Budget] {
			seen[a.Budget] = true
			r.cfg.Recorder.Record(checker.Entry{Budget: &checker.Budget{Name: a.Budget, Initial: a.Granted}})
		}
	}
	for _, k := range r.cfg.Plan.Mix {
		if k.Slots > 0 && !seen["service "+k.Service] {
			seen["service "+k.Service] = true
			r.cfg.Recorder.Record(checker.Entry{Service: &checker.Service{Name: k.Service, Slots: k.Slots}})
		}
	}
}

func (r *runner) run(ctx context.Context) error {
	bounded, cancel := r.cfg.Clock.WithTimeout(ctx, r.cfg.Plan.DurationMs+settleBound)
	defer cancel()
	duties, ctx := errgroup.WithContext(bounded)
	watching, stop := context.WithCancel(ctx)
	duties.Go(func() error { return r.injectFaults(watching) })
	duties.Go(func() error { return r.tellProgress(watching) })
	duties.Go(func() error {
		defer stop()
		return r.sendAll(ctx)
	})
	return duties.Wait()
}

// sendAll starts each request at its time, however the earlier ones fare.
func (r *runner) sendAll(ctx context.Context) error {
	var open errgroup.Group
	open.SetLimit(r.cfg.Plan.MaxInFlight)
	for _, a := range Schedule(r.cfg.Plan) {
		due := r.start.millis + a.At - r.cfg.Clock.Now()
		if due > 0 && r.cfg.Clock.Sleep(ctx, due) != nil {
			break
		}
		if !open.TryGo(func() error { r.sendOne(a); return nil }) {
			r.measures.drop()
		}
	}
	err := open.Wait()
	r.end = r.cfg.Clock.Now()
	return err
}

func (r *runner) sendOne(a Arrival) {
	if r.cfg.Route != nil {
		a.Caller = r.cfg.Route(a.Caller)
	}
	request := r.caller.send(r.start, a)
	r.measures.finish(request)
	r.cfg.Recorder.Record(checker.Entry{Request: &request})
}

func (r *runner) tellProgress(ctx context.Context) error {
	if r.cfg.Progress == nil {
		return nil
	}
	for r.cfg.Clock.Sleep(ctx, progressInterval) == nil {
		m := r.measures
		m.mu.Lock()
		line := fmt.Sprintf("%s %ds finished %d answered %d refused %d unknown %d shed %d first token p95 %.0f ms\n",
			r.cfg.Plan.Name, (r.cfg.Clock.Now()-r.start.millis)/clocker.Second, m.finished, m.outcomes[checker.Answered],
			m.outcomes[checker.RefusedNotRun], m.outcomes[checker.OutcomeUnknown]+m.outcomes[checker.Broken],
			m.shed, float64(m.first.ValueAtQuantile(95))/microsPerMilli)
		m.mu.Unlock()
		_, _ = io.WriteString(r.cfg.Progress, line)
	}
	return nil
}

func (r *runner) report() (Report, error) {
	history, err := r.cfg.Recorder.History()
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	m := r.measures
	m.mu.Lock()
	defer m.mu.Unlock()
	report := Report{
		Name:          r.cfg.Plan.Name,
		Seed:          r.cfg.Plan.Seed,
		DurationMs:    r.end - r.start.millis,
		Sent:          m.finished,
		Shed:          m.shed,
		FirstToken:    latency(m.first),
		BetweenTokens: latency(m.between),
		WholeAnswer:   latency(m.whole),
		Outcomes:      counts(m.outcomes),
		Codes:         counts(m.codes),
		Verdict:       checker.Check(history),
	}
	for _, a := range r.cfg.Plan.Accounts {
		report.Spend = append(report.Spend, Spend{
			ClientAccount: a.Name,
			Budget:        a.Budget,
			Granted:       a.Granted,
			Served:        m.spend[a.Name],
		})
	}
	return report, nil
}
