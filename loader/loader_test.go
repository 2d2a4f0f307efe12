package loader_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
	"cowsliphinge/loader"
	"cowsliphinge/standin/application"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/faulter"
	"cowsliphinge/standin/refuser"
)

// listen serves a handler on loopback and returns its address.
func listen(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// backends are an engine and an application server behind one address that
// gives out request IDs, as a router does.
type backends struct {
	engine   *engine.Engine
	app      *application.Server
	plan     loader.Plan
	requests int
}

func start(t *testing.T) *backends {
	t.Helper()
	clock := clocker.NewWall()
	b := &backends{
		engine: engine.New(engine.Config{Name: "engine-1", Clock: clock}),
		app:    application.New(application.Config{Name: "app-1", Clock: clock}),
	}
	t.Cleanup(b.engine.Close)
	t.Cleanup(b.app.Close)
	ids := make(chan int, 10000)
	for i := range cap(ids) {
		ids <- i
	}
	entry := listen(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Request.Header.Set("X-Request-Id", fmt.Sprintf("r%d", <-ids))
		if string(ctx.Path()) == "/v1/chat/completions" {
			b.engine.Handler(ctx)
			return
		}
		b.app.Handler(ctx)
	})
	b.plan = loader.Plan{
		Name: "test", DurationMs: 200, RequestsPerSecond: 500, Arrivals: loader.Poisson, Seed: 7,
		Callers:  []string{entry},
		Accounts: []loader.Account{{Name: "large", Budget: "b", Granted: 1 << 40, Share: 9}, {Name: "small", Budget: "b"}},
		Mix: []loader.Kind{
			{Service: "drafts", Model: "m", MaxTokens: 20, Stream: true, PromptBytes: 100, SharedBytes: 300, Prefixes: 2},
			{Service: "drafts", Model: "m", MaxTokens: 20},
			{Service: "orders", Path: "/place", CallTokens: 3, NonIdempotent: true},
		},
		BackendServers: []loader.BackendServer{
			{Name: "engine-1", Address: listen(t, b.engine.Handler)},
			{Name: "app-1", Address: listen(t, b.app.Handler)},
		},
	}
	return b
}

func run(t *testing.T, plan loader.Plan) (loader.Report, checker.History) {
	t.Helper()
	recorder := checker.NewRecorder(nil)
	report, err := loader.Run(context.Background(), loader.Config{Plan: plan, Clock: clocker.NewWall(), Recorder: recorder})
	assert.NilError(t, err)
	history, err := recorder.History()
	assert.NilError(t, err)
	return report, history
}

func TestEveryArrivalIsSentAndAnswered(t *testing.T) {
	b := start(t)
	report, history := run(t, b.plan)
	assert.Equal(t, int(report.Sent), len(loader.Schedule(b.plan)))
	assert.Equal(t, report.Verdict.Answered, int(report.Sent))
	assert.Assert(t, report.Verdict.Holds(), "%q", report.Verdict.Violations)
	assert.Equal(t, len(history.Runs), int(report.Sent))
	var served int64
	for _, tokens := range b.engine.Served() {
		served += tokens
	}
	served += 3 * int64(len(b.app.Runs()))
	assert.Equal(t, report.Spend[0].Served+report.Spend[1].Served, served)
}

func TestFaultsAreSeenByTheCaller(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults faulter.Faults
		found  func(v checker.Verdict) int
	}{
		{"crossed", faulter.Faults{CrossAnswers: 1}, func(v checker.Verdict) int { return v.WrongAnswers }},
		{"truncated", faulter.Faults{TruncateAnswers: 1}, func(v checker.Verdict) int { return v.OutcomeUnknown }},
		{"lost", faulter.Faults{LoseAnswers: 1}, func(v checker.Verdict) int { return v.OutcomeUnknown }},
	} {
		for kind := range 3 {
			t.Run(fmt.Sprintf("%s %d", c.name, kind), func(t *testing.T) {
				b := start(t)
				b.plan.Mix = b.plan.Mix[kind : kind+1]
				b.engine.SetFaults(c.faults)
				b.app.SetFaults(c.faults)
				report, _ := run(t, b.plan)
				assert.Equal(t, c.found(report.Verdict), 1, "%+v", report.Verdict)
			})
		}
	}
}

func TestLoadStraightAtAnEngine(t *testing.T) {
	b := start(t)
	b.plan.Callers = []string{b.plan.BackendServers[0].Address}
	b.plan.Mix = b.plan.Mix[:2]
	b.plan.SendRequestIDs = true
	report, history := run(t, b.plan)
	assert.Equal(t, report.Verdict.Answered, int(report.Sent))
	assert.Assert(t, report.Verdict.Holds(), "%q", report.Verdict.Violations)
	assert.Equal(t, len(history.Runs), int(report.Sent))
}

func TestRefusedConnectionsAreTold(t *testing.T) {
	b := start(t)
	l, err := refuser.Listen()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Release() })
	b.plan.Callers = []string{l.Addr().String()}
	assert.NilError(t, l.Close())
	_, history := run(t, b.plan)
	for _, r := range history.Requests {
		assert.Equal(t, r.Code, checker.CodeNotConnected)
	}
}

func TestRepeatsThatRunTwiceAreFound(t *testing.T) {
	b := start(t)
	b.plan.Mix = b.plan.Mix[2:]
	b.plan.Mix[0].RepeatPercent = 100
	b.plan.Mix[0].RepeatAfterMs = 1
	report, _ := run(t, b.plan)
	assert.Assert(t, report.Verdict.DoubleRuns > 0)
}

func TestDeclaredFaultsAreInjected(t *testing.T) {
	b := start(t)
	b.plan.Mix = b.plan.Mix[1:2]
	faults, err := json.Marshal(faulter.Faults{RefuseAll: true})
	assert.NilError(t, err)
	b.plan.Faults = []loader.FaultStep{{AtMs: 0, Address: b.plan.BackendServers[0].Address, Faults: faults}}
	_, _ = run(t, b.plan)
	assert.Assert(t, b.engine.Faults().RefuseAll)
}

func TestScheduleIsFixedBySeed(t *testing.T) {
	plan := loader.Plan{
		DurationMs: 10 * clocker.Second, RequestsPerSecond: 100, Arrivals: loader.Poisson, Seed: 3,
		Callers:  []string{"a", "b"},
		Accounts: []loader.Account{{Name: "large", Share: 9}, {Name: "small"}},
		Mix:      []loader.Kind{{Service: "orders", NonIdempotent: true, RepeatPercent: 50, RepeatAfterMs: 100}},
	}
	first := loader.Schedule(plan)
	assert.DeepEqual(t, first, loader.Schedule(plan))
	keys, large := map[string]int{}, 0
	for _, a := range first {
		keys[a.Key]++
		if a.Account.Name == "large" {
			large++
		}
	}
	assert.Assert(t, len(keys) > 900 && len(keys) < 1100, "%d keys", len(keys))
	assert.Assert(t, len(first) > len(keys)*14/10 && len(first) < len(keys)*16/10)
	assert.Assert(t, large > len(first)*85/100 && large < len(first)*95/100)
	plan.Seed++
	assert.Assert(t, loader.Schedule(plan)[0].At != first[0].At)
}

func TestPlanReportsAllFindings(t *testing.T) {
	err := loader.Plan{Accounts: []loader.Account{{}}, Mix: []loader.Kind{{}}}.Validate()
	var target loader.ErrPlan
	assert.Assert(t, errors.As(err, &target))
	assert.Equal(t, len(target.Findings), 6, "%q", target.Findings)
	assert.Assert(t, bytes.Contains([]byte(err.Error()), []byte("$.Mix[0]: needs a Model or a Service")))
}
