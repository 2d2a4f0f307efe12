package comparer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
	"cowsliphinge/loader"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/application"
	"cowsliphinge/standin/faulter"
	"cowsliphinge/standin/fleet"
	"cowsliphinge/standin/platform"
)

const (
	// readyBound is how long a fleet may take to be ready, in milliseconds.
	readyBound = 30 * clocker.Second
	// grantPause is the time between tries of one top-up, in milliseconds.
	grantPause = 200 * clocker.Millis(1)
	// drainAfter is the time from the start of a move to its drain, in
	// milliseconds; an earlier drain is refused.
	drainAfter = 6 * clocker.Second
	// drainBound is how long a fleet may take to stop, in milliseconds.
	drainBound = 60 * clocker.Second
)

// Config configures a run.
type Config struct {
	Clock *clocker.Clock
	Log   *slog.Logger
	// Seed replaces that of the load if it is not 0.
	Seed uint64
	// Progress gets a line a second; nil tells none.
	Progress io.Writer
	// History returns where the history of a variant is written; nil writes none.
	History func(variant string) io.Writer
}

// Run runs each variant in turn and returns their reports; with an error, those
// of the variants before.
func Run(ctx context.Context, cfg Config, e Experiment) ([]loader.Report, error) {
	setups, err := e.Setups()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reports := make([]loader.Report, 0, len(setups))
	for _, s := range setups {
		if cfg.Seed != 0 {
			s.Load.Seed = cfg.Seed
		}
		report, err := runVariant(ctx, cfg, s)
		if err != nil {
			return reports, trace.Wrap(err, "variant %s", s.Load.Name)
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// variant is one running deployment.
type variant struct {
	cfg      Config
	setup    Setup
	fleet    *fleet.Fleet
	recorder *checker.Recorder
	topUps   int
}

func runVariant(ctx context.Context, cfg Config, s Setup) (loader.Report, error) {
	v, err := start(ctx, cfg, s)
	if err != nil {
		return loader.Report{}, trace.Wrap(err)
	}
	defer v.fleet.Stop()
	var events errgroup.Group
	running, stop := context.WithCancel(ctx)
	defer stop()
	begun := cfg.Clock.Now()
	before := v.fleet.Platform.Counts()
	var after platform.Counts
	events.Go(func() error { return v.playEvents(running, begun) })
	report, err := loader.Run(ctx, loader.Config{
		Plan:     v.setup.Load,
		Clock:    cfg.Clock,
		Recorder: v.recorder,
		Progress: cfg.Progress,
		Store:    v.fleet.Platform,
		Settle: func(ctx context.Context) error {
			stop()
			after = v.fleet.Platform.Counts()
			if err := events.Wait(); err != nil {
				return trace.Wrap(err)
			}
			return v.drain(ctx)
		},
	})
	report.Platform = []loader.Count{
		{Name: "bytes", Count: after.Bytes - before.Bytes},
		{Name: "reads", Count: after.Reads - before.Reads},
		{Name: "watches", Count: after.Watches - before.Watches},
		{Name: "writes", Count: after.Writes - before.Writes},
	}
	return report, trace.Wrap(err)
}

// start brings a fleet up and grants the budgets.
func start(ctx context.Context, cfg Config, s Setup) (*variant, error) {
	declarations, err := declare(s)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f, err := fleet.Start(fleet.Config{
		Declarations: declarations,
		Clock:        cfg.Clock,
		Log:          cfg.Log,
		Engine:       s.Engine,
		Application:  application.Config{WorkMs: s.WorkMs},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	v := &variant{cfg: cfg, setup: s, fleet: f}
	var out io.Writer
	if cfg.History != nil {
		out = cfg.History(s.Load.Name)
	}
	v.recorder = checker.NewRecorder(out)
	if err := v.bringUp(ctx); err != nil {
		f.Stop()
		return nil, trace.Wrap(err)
	}
	v.fillLoad()
	return v, nil
}

// bringUp starts the hosts, which run until ctx ends, and grants the budgets.
func (v *variant) bringUp(ctx context.Context) error {
	for _, h := range v.fleet.Declarations.Hosts {
		if err := v.fleet.StartHost(ctx, h.Name); err != nil {
			return trace.Wrap(err)
		}
	}
	ctx, cancel := v.cfg.Clock.WithTimeout(ctx, readyBound)
	defer cancel()
	first := v.fleet.Declarations.Hosts[0].Name
	if err := v.fleet.Publish(ctx, first); err != nil {
		return trace.Wrap(err)
	}
	if err := v.fleet.AwaitReady(ctx); err != nil {
		return trace.Wrap(err)
	}
	granted := map[string]bool{}
	for _, a := range v.setup.Load.Accounts {
		if granted[a.Budget] {
			continue
		}
		granted[a.Budget] = true
		request := &messenger.TopUpRequest{OperationId: "initial-" + a.Budget, Budget: a.Budget, Tokens: a.Granted}
		if err := v.grant(ctx, first, request); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// grant repeats a top-up, which counts once, until it is confirmed: a host
// makes only so many platform calls a second.
func (v *variant) grant(ctx context.Context, host string, request *messenger.TopUpRequest) error {
	for {
		_, err := v.fleet.Commander(host).TopUp(ctx, request)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil || v.cfg.Clock.Sleep(ctx, grantPause) != nil {
			return trace.Wrap(err)
		}
	}
}

// fillLoad sets the addresses and keys that only a running fleet knows.
func (v *variant) fillLoad() {
	load := &v.setup.Load
	for i := range load.Accounts {
		load.Accounts[i].Key = bearerKey(load.Accounts[i].Name)
	}
	for _, h := range v.fleet.Declarations.Hosts {
		load.Callers = append(load.Callers, h.CallerAddress)
	}
	for _, b := range v.fleet.Declarations.BackendServers {
		load.BackendServers = append(load.BackendServers, loader.BackendServer{Name: b.Name, Address: b.Address})
	}
}

// drain stops all hosts gracefully, so that bills and budgets are final.
func (v *variant) drain(ctx context.Context) error {
	v.fleet.Platform.SetFaults(platform.Faults{})
	for _, zone := range v.setup.AvailabilityZones {
		v.fleet.Reconnect(zone)
	}
	ctx, cancel := v.cfg.Clock.WithTimeout(ctx, drainBound)
	defer cancel()
	var group errgroup.Group
	for name := range v.fleet.Routers() {
		group.Go(func() error {
			if !v.fleet.DrainHost(ctx, name) {
				return trace.Wrap(fmt.Errorf("host %s did not stop clean", name))
			}
			return nil
		})
	}
	return group.Wait()
}

func (v *variant) playEvents(ctx context.Context, begun clocker.Millis) error {
	var background errgroup.Group
	for _, e := range v.setup.Events {
		due := begun + e.AtMs - v.cfg.Clock.Now()
		if due > 0 && v.cfg.Clock.Sleep(ctx, due) != nil {
			break
		}
		background.Go(func() error { return trace.Wrap(v.play(context.WithoutCancel(ctx), e), "%s %s", e.Kind, e.Target) })
	}
	return background.Wait()
}

func (v *variant) play(ctx context.Context, e Event) error {
	switch e.Kind {
	case CutOff:
		v.fleet.CutOff(e.Target)
	case Reconnect:
		v.fleet.Reconnect(e.Target)
	case KillHost:
		v.fleet.KillHost(e.Target)
	case StartHost:
		return v.fleet.StartHost(ctx, e.Target)
	case DrainHost:
		return v.drainHost(ctx, e.Target)
	case PlatformFaults:
		var f platform.Faults
		if err := json.Unmarshal(e.Faults, &f); err != nil {
			return trace.Wrap(err)
		}
		v.fleet.Platform.SetFaults(f)
	case ServerFaults:
		return v.serverFaults(e)
	case TopUp:
		return v.topUp(ctx, e)
	case Leave:
		return v.leave(ctx, e.Target)
	default:
		return trace.BadParameter("unknown kind of event")
	}
	return nil
}

func (v *variant) drainHost(ctx context.Context, name string) error {
	address := v.fleet.CallerAddress(name)
	from := v.cfg.Clock.Now()
	clean := v.fleet.DrainHost(ctx, name)
	v.recorder.Record(checker.Entry{Stop: &checker.Stop{Host: name, Address: address, From: from, Until: v.cfg.Clock.Now()}})
	if !clean {
		return trace.Wrap(fmt.Errorf("requests were cut"))
	}
	return nil
}

func (v *variant) serverFaults(e Event) error {
	var f faulter.Faults
	if err := json.Unmarshal(e.Faults, &f); err != nil {
		return trace.Wrap(err)
	}
	if server := v.fleet.Engines[e.Target]; server != nil {
		server.SetFaults(f)
		return nil
	}
	if server := v.fleet.Applications[e.Target]; server != nil {
		server.SetFaults(f)
		return nil
	}
	return trace.NotFound("no such backend server")
}

// firstRouter names a host that runs.
func (v *variant) firstRouter() string {
	running := v.fleet.Routers()
	for _, h := range v.fleet.Declarations.Hosts {
		if running[h.Name] != nil {
			return h.Name
		}
	}
	return v.fleet.Declarations.Hosts[0].Name
}

func (v *variant) topUp(ctx context.Context, e Event) error {
	v.topUps++
	request := &messenger.TopUpRequest{OperationId: fmt.Sprintf("top-up-%d", v.topUps), Budget: e.Target, Tokens: e.Tokens}
	sent := v.cfg.Clock.Now()
	_, err := v.fleet.Commander(v.firstRouter()).TopUp(ctx, request)
	v.recorder.Record(checker.Entry{TopUp: &checker.TopUp{
		OperationID: request.OperationId,
		Budget:      e.Target,
		Tokens:      e.Tokens,
		SentAt:      sent,
		Confirmed:   err == nil,
	}})
	return trace.Wrap(err)
}

// leave plans and starts a move of one backend server, which drains drainAfter
// later: the plan has to be spread before.
func (v *variant) leave(ctx context.Context, server string) error {
	now := int64(v.cfg.Clock.Now())
	move := &messenger.Move{
		Name:                  "leave-" + server,
		LeavingBackendServers: []string{server},
		StartAtMs:             now,
		DrainAtMs:             now + int64(drainAfter),
		DueAtMs:               now + int64(clocker.Hour),
	}
	for _, state := range []messenger.MoveState{messenger.MoveState_PLANNED, messenger.MoveState_STARTED} {
		move.State = state
		if err := v.putMove(ctx, move); err != nil {
			return trace.Wrap(err)
		}
	}
	v.recorder.Record(checker.Entry{Leaving: &checker.Leaving{Server: server, At: clocker.Millis(move.DrainAtMs)}})
	return nil
}

func (v *variant) putMove(ctx context.Context, move *messenger.Move) error {
	host := v.firstRouter()
	current, err := v.fleet.Querier(host).GetConfiguration(ctx, &messenger.GetConfigurationRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	reply, err := v.fleet.Commander(host).PutMove(ctx, &messenger.PutMoveRequest{
		OperationId:     move.Name + "-" + move.State.String(),
		ExpectedVersion: current.Version,
		Move:            move,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if len(reply.Findings) > 0 {
		return trace.BadParameter("move refused: %s", reply.Findings[0].Message)
	}
	return nil
}
