// Package demonstrator shows the main job in one process: a deployment on
// loopback serves callers while a small weekend move runs, one host dies, one
// availability zone is cut off and a top-up arrives; then it checks what
// callers and backend servers saw. It is glue over the routers, the stand-ins,
// the load tool and the checker.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
	"cowsliphinge/examples"
	"cowsliphinge/loader"
	"cowsliphinge/standin/application"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/fleet"
)

const (
	// duration of the load, in milliseconds.
	duration = 30 * clocker.Second
	// requestsPerSecond of all callers together.
	requestsPerSecond = 15
	// grantedTokens is each client account's first top-up.
	grantedTokens = 200_000
	// toppedUpTokens is the top-up in the middle of the cut.
	toppedUpTokens = 50_000
)

// Config configures a demonstration.
type Config struct {
	// Deployment is one of examples.Deployments.
	Deployment string
	// Seed fixes arrivals, accounts and prompts.
	Seed uint64
	// Out gets progress lines.
	Out io.Writer
	Log *slog.Logger
}

// Result is what a demonstration showed.
type Result struct {
	Deployment string
	Seed       uint64
	checker.Verdict
	// DrainedHosts stopped without cutting a request, of PlannedStops.
	DrainedHosts int
	PlannedStops int
	FirstToken   loader.Latency
	// Codes counts refusals and broken connections by code.
	Codes []loader.Count
}

// Holds reports whether every promise was kept.
func (r Result) Holds() bool {
	return r.Verdict.Holds() && r.DrainedHosts == r.PlannedStops
}

// demonstration is one run.
type demonstration struct {
	cfg      Config
	clock    *clocker.Clock
	fleet    *fleet.Fleet
	recorder *checker.Recorder
	plan     movePlan
	started  clocker.Millis
	turn     atomic.Uint64 // of the hosts that take a missing host's callers

	mu     sync.Mutex
	result Result
}

// Run runs a demonstration and returns what it showed. The error says that it
// could not be run to its end.
func Run(ctx context.Context, cfg Config) (Result, error) {
	declarations, err := examples.Declarations(cfg.Deployment)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	d := &demonstration{
		cfg:      cfg,
		clock:    clocker.NewWall(),
		recorder: checker.NewRecorder(nil),
		plan:     planMove(declarations),
		result:   Result{Deployment: cfg.Deployment, Seed: cfg.Seed},
	}
	d.fleet, err = fleet.Start(fleet.Config{
		Declarations: d.plan.all,
		Clock:        d.clock,
		Log:          cfg.Log,
		Engine:       engine.Config{PrefillMsPerToken: 0.02, DecodeMsPerToken: 8, DecodeMsPerSequence: 0.5, LoadLagMs: 200, LoadMsPerModel: 200},
		Application:  application.Config{WorkMs: 20},
	})
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	defer d.fleet.Stop()
	if err := d.prepare(ctx); err != nil {
		return Result{}, trace.Wrap(err)
	}
	if err := d.serve(ctx); err != nil {
		return Result{}, trace.Wrap(err)
	}
	return d.conclude(ctx)
}

// prepare starts the hosts of today and gives each client account its budget.
func (d *demonstration) prepare(ctx context.Context) error {
	d.say("starting %d hosts, %d backend servers", len(d.plan.before.Hosts), len(d.plan.before.BackendServers))
	for _, h := range d.plan.before.Hosts {
		if err := d.fleet.StartHost(ctx, h.Name); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := d.apply(ctx, "today", d.plan.version(d.fleet, false), 0); err != nil {
		return trace.Wrap(err)
	}
	if err := d.fleet.AwaitReady(ctx); err != nil {
		return trace.Wrap(err)
	}
	for _, a := range d.plan.before.ClientAccounts {
		if err := d.topUp(ctx, "first-"+a.Budget, a.Budget, grantedTokens); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// serve drives the load while the scenario runs.
func (d *demonstration) serve(ctx context.Context) error {
	d.started = d.clock.Now()
	watching, stop := context.WithCancel(ctx)
	var duties errgroup.Group
	duties.Go(func() error {
		d.watchVersions(watching)
		return nil
	})
	duties.Go(func() error { return d.scenario(ctx) })
	duties.Go(func() error {
		defer stop()
		report, err := loader.Run(ctx, loader.Config{
			Plan:     d.load(),
			Clock:    d.clock,
			Recorder: d.recorder,
			Route:    d.route,
			Progress: d.cfg.Out,
		})
		d.result.FirstToken = report.FirstToken
		d.result.Codes = report.Codes
		return trace.Wrap(err)
	})
	return trace.Wrap(duties.Wait())
}

// conclude stops the fleet gracefully and checks the history.
func (d *demonstration) conclude(ctx context.Context) (Result, error) {
	d.say("stopping the hosts that are left")
	var stops errgroup.Group
	for name := range d.fleet.Routers() {
		stops.Go(func() error {
			d.drain(ctx, name)
			return nil
		})
	}
	if err := stops.Wait(); err != nil {
		return Result{}, trace.Wrap(err)
	}
	if err := loader.CollectBills(ctx, d.fleet.Platform, d.recorder); err != nil {
		return Result{}, trace.Wrap(err)
	}
	if err := loader.CollectBudgets(ctx, d.fleet.Platform, d.recorder); err != nil {
		return Result{}, trace.Wrap(err)
	}
	history, err := d.recorder.History()
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	d.result.Verdict = checker.Check(history)
	return d.result, nil
}

// count notes a planned stop.
func (d *demonstration) count(clean bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.result.PlannedStops++
	if clean {
		d.result.DrainedHosts++
	}
}

func (d *demonstration) say(format string, args ...any) {
	at := clocker.Millis(0)
	if d.started != 0 {
		at = d.clock.Now() - d.started
	}
	_, _ = fmt.Fprintf(d.cfg.Out, "%5.1f s  %s\n", float64(at)/float64(clocker.Second), fmt.Sprintf(format, args...))
}
