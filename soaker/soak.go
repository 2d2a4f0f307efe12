package soaker

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"

	"golang.org/x/sync/errgroup"

	"cowsliphinge/clocker"
	"cowsliphinge/relayer"
	"cowsliphinge/standin/objects"
	"cowsliphinge/standin/server"
)

// quiet drops what the stand-ins' listeners say of broken connections.
var quiet = log.New(io.Discard, "", 0)

// Config configures a run.
type Config struct {
	Clock *clocker.Clock
	// Dialect names the headers that callers send and read.
	Dialect relayer.HeaderNames
	// ReadyPath is where routers are asked whether they are ready.
	ReadyPath string
	// Program is the path of the cowsliphinge binary.
	Program string
	// Seed decides all faults and requests.
	Seed uint64
	// For is how long faults and requests go on, in milliseconds.
	For clocker.Millis
	// Routers and Servers are how many of each run; Callers send requests without
	// a pause of their own.
	Routers, Servers, Callers int
	// Prepaid tokens of each of two client accounts.
	Prepaid int64
	// Limits lets backend servers name limits of requests.
	Limits bool
	// FaultPause is the mean time between two faults of routers, the store and the configuration, in
	// milliseconds; 0 means defaultFaultPause.
	FaultPause clocker.Millis
	// Restores brings the store back from copies.
	Restores bool
	// Cuts cuts routers off from each other, and some of them from the store at the same time.
	Cuts bool
	// Versions restarts backend servers under their ID and address with another software version.
	Versions bool
	// Deaths ends the processes of backend servers, a part of whose answers have no length.
	Deaths bool
	// LateEnds lets backend servers be silent before they end streams.
	LateEnds bool
	// Hostile clients send requests that don't end, to routers with little memory.
	Hostile int
	// Keep leaves the folder with settings and logs in place.
	Keep bool
}

func (c Config) prepaid() map[string]int64 {
	return map[string]int64{"one": c.Prepaid, "two": c.Prepaid / 4}
}

// Result is what a run found.
type Result struct {
	Requests, Served int
	// Streams are the figures of all streams, and Judged of those at routers in touch.
	Streams, Judged Streams
	// Unready are the routers that did not say they are ready within readyBound at the start.
	Unready []int
	// Faults are the faults in their order.
	Faults   []string
	Findings []string
	// Folder holds settings and logs of the routers.
	Folder string
}

const (
	// warmUp is how long routers get to start, in milliseconds.
	warmUp = 2 * clocker.Second
	// defaultFaultPause is the mean time between two faults, in milliseconds.
	defaultFaultPause = 500
	// serverSeries is the stream of random numbers of the backend servers' faults.
	// Callers have those from 1 on.
	serverSeries = 1 << 32
	// limitSeries is that of the servers' limits.
	limitSeries = serverSeries + 1
	// restoreSeries is that of the store's restores.
	restoreSeries = serverSeries + 2
	// restartSeries is that of the servers' restarts and deaths, and takeUpSeries the first of those
	// by which callers choose where they go on.
	restartSeries = serverSeries + 3
	// cutSeries is that of the cuts between routers.
	cutSeries = serverSeries + 4
	// lateSeries is that of late ends.
	lateSeries   = serverSeries + 5
	takeUpSeries = 2 * serverSeries
	// callPause is the mean pause of a caller, in milliseconds.
	callPause = 30
	// maxOutput is the most tokens that a request may cost beyond its prompt.
	maxOutput = streamEvents
)

// Run starts everything, lets callers and faults go on, and returns what was
// found. An error means that the run itself failed.
func Run(ctx context.Context, cfg Config) (Result, error) {
	w, err := newWorld(cfg)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	unready := w.unready(ctx)
	if err := cfg.Clock.Sleep(ctx, warmUp); err != nil {
		return Result{}, err
	}
	ctx, cancel := cfg.Clock.WithTimeout(ctx, cfg.For)
	defer cancel()
	var group errgroup.Group
	for i := range cfg.Callers {
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(i+1)))
		group.Go(func() error {
			w.callUntil(ctx, i, rng)
			return nil
		})
	}
	for i := range cfg.Hostile {
		rng := rand.New(rand.NewPCG(cfg.Seed, hostileSeries+uint64(i)))
		group.Go(func() error {
			w.harassUntil(ctx, i, rng)
			return nil
		})
	}
	var serverFaults []string
	group.Go(func() error {
		serverFaults = w.harmServersUntil(ctx, rand.New(rand.NewPCG(cfg.Seed, serverSeries)))
		return nil
	})
	var restarts []string
	if cfg.Versions || cfg.Deaths {
		group.Go(func() error {
			restarts = w.restartServersUntil(ctx, rand.New(rand.NewPCG(cfg.Seed, restartSeries)))
			return nil
		})
	}
	var limits []string
	if cfg.Limits {
		group.Go(func() error {
			limits = w.limitServersUntil(ctx, rand.New(rand.NewPCG(cfg.Seed, limitSeries)))
			return nil
		})
	}
	var restores []string
	if cfg.Restores {
		group.Go(func() error {
			restores = w.series(ctx, rand.New(rand.NewPCG(cfg.Seed, restoreSeries)), []fault{restoreStore}, restorePause, w.record.harm)
			return nil
		})
	}
	var cuts []string
	if cfg.Cuts {
		group.Go(func() error {
			cuts = w.series(ctx, rand.New(rand.NewPCG(cfg.Seed, cutSeries)), []fault{cutPeers}, cutPause, w.record.harm)
			return nil
		})
	}
	var late []string
	if cfg.LateEnds {
		group.Go(func() error {
			late = w.series(ctx, rand.New(rand.NewPCG(cfg.Seed, lateSeries)), []fault{endStreamsLate}, serverFaultPause, func(_, _ clocker.Millis) {})
			return nil
		})
	}
	faults := w.harmUntil(ctx, rand.New(rand.NewPCG(cfg.Seed, 0)))
	_ = group.Wait()
	faults = slices.Concat(faults, serverFaults, restarts, limits, restores, cuts, late)
	result := Result{Faults: faults, Findings: w.record.findings(), Unready: unready, Folder: w.folder}
	if cfg.Hostile > 0 {
		result.Findings = append(result.Findings, w.memoryFindings()...)
	}
	result.Streams, result.Judged = w.record.figures()
	for _, q := range w.record.requests {
		result.Requests++
		if q.status == http.StatusOK && !q.broken {
			result.Served++
		}
	}
	return result, nil
}

// fault harms something and heals it; it returns its name.
type fault func(w *world, rng *rand.Rand) string

var faults = []fault{
	killRouter, stopRouter, pauseRouter, hangUpRouter, cutRouter, resetRouter, slowRouter,
	breakStore, loseWrites, compactStore, replaceServer, breakServer, changeConfiguration,
}

// harmUntil starts faults, which may overlap, until ctx ends, and waits for all to
// be healed.
func (w *world) harmUntil(ctx context.Context, rng *rand.Rand) []string {
	pause := defaultFaultPause
	if w.cfg.FaultPause > 0 {
		pause = int(w.cfg.FaultPause)
	}
	return w.series(ctx, rng, faults, pause, w.record.harm)
}

// series starts faults at a mean pause in milliseconds until ctx ends, waits for all
// to be healed, and returns their names. harmed is told when each began and ended.
func (w *world) series(ctx context.Context, rng *rand.Rand, faults []fault, pause int, harmed func(from, to clocker.Millis)) []string {
	var mu sync.Mutex
	var names []string
	var group errgroup.Group
	for w.cfg.Clock.Sleep(ctx, clocker.Millis(rng.IntN(2*pause))) == nil {
		f := faults[rng.IntN(len(faults))]
		seeded := rand.New(rand.NewPCG(rng.Uint64(), 0))
		group.Go(func() error {
			from := w.cfg.Clock.Now()
			name := f(w, seeded)
			harmed(from, w.cfg.Clock.Now())
			mu.Lock()
			defer mu.Unlock()
			names = append(names, name)
			return nil
		})
	}
	_ = group.Wait()
	return names
}

func (w *world) anyRouter(rng *rand.Rand) *router {
	return w.routers[rng.IntN(len(w.routers))]
}

func (w *world) pause(rng *rand.Rand, most int) {
	w.cfg.Clock.SleepUncancellable(clocker.Millis(200 + rng.IntN(most)))
}

// disturb notes that routers or their way to the store are disrupted until the returned function is called.
func (w *world) disturb(routers ...*router) (end func()) {
	from := w.cfg.Clock.Now()
	return func() {
		for _, r := range routers {
			w.record.disturb(r.number, span{from, w.cfg.Clock.Now()})
		}
	}
}

func (w *world) restart(r *router) {
	if err := r.start(w.cfg.Program, w.folder); err != nil {
		w.record.ended(request{id: "restart of a router", foreign: true, path: err.Error()})
	}
}

// exclusive lets one fault at a time end and start a router.
var exclusive sync.Mutex

func killRouter(w *world, rng *rand.Rand) string {
	exclusive.Lock()
	defer exclusive.Unlock()
	r := w.anyRouter(rng)
	defer w.disturb(r)()
	r.kill()
	w.pause(rng, 800)
	w.restart(r)
	return fmt.Sprintf("kill router %d", r.number)
}

func stopRouter(w *world, rng *rand.Rand) string {
	exclusive.Lock()
	defer exclusive.Unlock()
	r := w.anyRouter(rng)
	defer w.disturb(r)()
	r.signal(syscall.SIGTERM)
	r.wait()
	w.restart(r)
	return fmt.Sprintf("stop router %d", r.number)
}

func pauseRouter(w *world, rng *rand.Rand) string {
	r := w.anyRouter(rng)
	defer w.disturb(r)()
	r.signal(syscall.SIGSTOP)
	w.pause(rng, 1500)
	r.signal(syscall.SIGCONT)
	return fmt.Sprintf("pause router %d", r.number)
}

func hangUpRouter(w *world, rng *rand.Rand) string {
	r := w.anyRouter(rng)
	r.signal(syscall.SIGHUP)
	return fmt.Sprintf("hang up router %d", r.number)
}

func cutRouter(w *world, rng *rand.Rand) string {
	r := w.anyRouter(rng)
	defer w.disturb(r)()
	state := proxyState{dropUp: rng.IntN(2) == 0}
	state.dropDown = !state.dropUp || rng.IntN(2) == 0
	r.store.set(state)
	w.pause(rng, 2500)
	r.store.set(proxyState{})
	r.store.reset() // what was swallowed is lost with its connection
	return fmt.Sprintf("cut router %d from the store, up %v, down %v", r.number, state.dropUp, state.dropDown)
}

func resetRouter(w *world, rng *rand.Rand) string {
	r := w.anyRouter(rng)
	defer w.disturb(r)()
	r.store.reset()
	return fmt.Sprintf("reset router %d's connections to the store", r.number)
}

func slowRouter(w *world, rng *rand.Rand) string {
	r := w.anyRouter(rng)
	defer w.disturb(r)()
	r.store.set(proxyState{delay: clocker.Millis(20 + rng.IntN(300))})
	w.pause(rng, 1500)
	r.store.set(proxyState{})
	return fmt.Sprintf("slow store for router %d", r.number)
}

func breakStore(w *world, rng *rand.Rand) string {
	f := []objects.Faults{{Silent: true}, {Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}}[rng.IntN(3)]
	defer w.disturb(w.routers...)()
	w.store.Break(f)
	w.pause(rng, 2500)
	w.store.Break(objects.Faults{})
	return fmt.Sprintf("store %+v", f)
}

func loseWrites(w *world, rng *rand.Rand) string {
	defer w.disturb(w.routers...)()
	w.store.Break(objects.Faults{LoseEvery: 1 + rng.IntN(4)})
	w.pause(rng, 2500)
	w.store.Break(objects.Faults{})
	return "answers of writes lost"
}

func compactStore(w *world, _ *rand.Rand) string {
	defer w.disturb(w.routers...)()
	w.store.Compact()
	return "history of the store dropped"
}

// replaceServer adds a backend server, and drains and ends the oldest one.
func replaceServer(w *world, _ *rand.Rand) string {
	if err := w.addServer(); err != nil {
		return "no new server: " + err.Error()
	}
	w.mu.Lock()
	old := w.servers[0]
	w.servers = w.servers[1:]
	w.mu.Unlock()
	old.listed["state"] = "draining"
	if err := w.list(old.id, old.listed); err != nil {
		return err.Error()
	}
	w.record.drain(old.id, w.cfg.Clock.Now())
	w.cfg.Clock.SleepUncancellable(2 * drainBound)
	w.unlist(old.id)
	old.die(byFin)
	return "replace server " + old.id
}

func breakServer(w *world, rng *rand.Rand) string {
	w.mu.Lock()
	b := w.servers[rng.IntN(len(w.servers))]
	w.mu.Unlock()
	heal := b.server.Begin(server.Fault{Kind: server.Abort, Every: 1 + rng.IntN(3), After: streamEvents / 2})
	w.pause(rng, 1500)
	heal()
	return "break answers of server " + b.id
}

func changeConfiguration(w *world, _ *rand.Rand) string {
	w.addVersion()
	return "new version of the configuration"
}
