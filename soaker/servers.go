package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/server"
)

const (
	// serverFaultPause is the mean time between two faults of backend servers, and
	// maxServerFault the most that one lasts, in milliseconds.
	serverFaultPause = 700
	maxServerFault   = 2500
)

// serverFaults are faults of backend servers. They have a series of their own beside
// the other faults, and excuse no router for a late answer to a drain.
var serverFaults = []fault{cutRequests, failRequests, misresumeStreams, misresumeStreams, shedRequests, crashServer}

// statuses are those of servers' own failures. They say nothing about a request that
// did not run, and none goes with a stream.
var statuses = []int{
	http.StatusInternalServerError, http.StatusInternalServerError, http.StatusBadGateway,
	http.StatusGatewayTimeout, http.StatusNotFound, http.StatusNoContent,
}

// faultServers lets faults hit requests at one or more of the backend servers.
func faultServers(w *world, rng *rand.Rand, faults ...server.Fault) string {
	w.mu.Lock()
	var ids []string
	var heal []func()
	for i, at := range rng.Perm(len(w.servers)) {
		if i == 0 || rng.IntN(2) == 0 {
			b := w.servers[at]
			ids = append(ids, b.id)
			for _, f := range faults {
				heal = append(heal, b.server.Begin(f))
			}
		}
	}
	w.mu.Unlock()
	w.pause(rng, maxServerFault)
	for _, end := range heal {
		end()
	}
	return fmt.Sprintf("%v at %s", faults, strings.Join(ids, ", "))
}

func randomCut(rng *rand.Rand) server.Fault {
	kind := []server.Kind{server.Abort, server.Truncate, server.Reset}[rng.IntN(3)]
	return server.Fault{Kind: kind, Every: 1 + rng.IntN(4), After: rng.IntN(streamEvents + 1)}
}

func randomFailure(rng *rand.Rand) server.Fault {
	return server.Fault{Kind: server.Fail, Every: 1 + rng.IntN(4), Status: statuses[rng.IntN(len(statuses))], Body: rng.IntN(2) == 0}
}

func cutRequests(w *world, rng *rand.Rand) string {
	return "cut " + faultServers(w, rng, randomCut(rng))
}

func failRequests(w *world, rng *rand.Rand) string {
	return "fail " + faultServers(w, rng, randomFailure(rng))
}

func shedRequests(w *world, rng *rand.Rand) string {
	return "shed " + faultServers(w, rng, server.Fault{Kind: server.Shed, Every: 1 + rng.IntN(3)})
}

// endStreamsLate lets sound servers be silent before they end streams.
func endStreamsLate(w *world, rng *rand.Rand) string {
	return faultServers(w, rng, server.Fault{Kind: server.EndLate, Every: 1 + rng.IntN(3)})
}

// misresumeStreams cuts streams and answers those that are resumed in a wrong way.
func misresumeStreams(w *world, rng *rand.Rand) string {
	wrong := []server.Fault{
		randomFailure(rng), randomFailure(rng), randomCut(rng),
		{Kind: server.Shed},
		{Kind: server.EndEmpty},
		{Kind: server.SkipAhead},
		{Kind: server.StartOver},
		{Kind: server.Double, After: rng.IntN(streamEvents / 2)},
	}[rng.IntN(8)]
	wrong.Every = 1 + rng.IntN(2)
	wrong.Resumed = true
	return "cut and resume wrongly " + faultServers(w, rng, wrong, randomCut(rng))
}

// crashServer ends a backend server in the middle of its requests, unless it is the
// only one. Its entry stays for a while; another server starts after that.
func crashServer(w *world, rng *rand.Rand) string {
	w.mu.Lock()
	if len(w.servers) == 1 {
		w.mu.Unlock()
		return "no crash of the only server"
	}
	at := rng.IntN(len(w.servers))
	b := w.servers[at]
	w.servers = append(w.servers[:at:at], w.servers[at+1:]...)
	w.mu.Unlock()
	w.endServer(b, byFin)
	w.pause(rng, maxServerFault)
	w.unlist(b.id)
	if err := w.addServer(); err != nil {
		return "no new server: " + err.Error()
	}
	return "crash server " + b.id
}

// harmServersUntil starts faults of backend servers, which may overlap, until ctx
// ends, and waits for all to be healed.
func (w *world) harmServersUntil(ctx context.Context, rng *rand.Rand) []string {
	return w.series(ctx, rng, serverFaults, serverFaultPause, func(_, _ clocker.Millis) {})
}
