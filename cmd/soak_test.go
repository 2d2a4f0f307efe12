package cmd

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/platform"
	"cowsliphinge/soaker"
)

// soakSeeds are run in CI; a seed that ever failed stays here with a line on the cause.
var soakSeeds = []uint64{
	1,   // a stream that its caller resumed began with events that the caller had
	60,  // a stopping router passed on requests between its last look at its connections and their end
	61,  // a request that had run at one server and was refused by the next one was told as not run
	67,  // SIGHUP ended a router that was stopping
	303, // an empty answer to a resumed stream was taken for the end of the stream
	306, // a second server's failure was the end of a stream that had begun, framed as complete
}

// buildProgram builds the program whose routers run as processes.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "cowsliphinge")
	out, err := exec.Command("go", "build", "-o", program, "cowsliphinge").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// A soak in which servers name limits lasts longer: a limit is judged from three seconds on, over
// four.
func TestShortSoakWithLimits(t *testing.T) {
	program := buildProgram(t)
	result, err := soaker.Run(context.Background(), soaker.Config{
		Clock:     clocker.NewWall(),
		Dialect:   platform.Dialect,
		ReadyPath: platform.ReadyPath,
		Program:   program,
		Seed:      1,
		For:       12 * clocker.Second,
		Routers:   3,
		Servers:   3,
		Callers:   6,
		Prepaid:   8000,
		Limits:    true,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Findings), 0, "%v after %v", result.Findings, result.Faults)
	assert.Assert(t, result.Served > 0)
}

func TestShortSoak(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			result, err := soaker.Run(context.Background(), soaker.Config{
				Clock:     clocker.NewWall(),
				Dialect:   platform.Dialect,
				ReadyPath: platform.ReadyPath,
				Program:   program,
				Seed:      seed,
				For:       6 * clocker.Second,
				Routers:   3,
				Servers:   2,
				Callers:   4,
				Prepaid:   4000,
			})
			assert.NilError(t, err)
			assert.Equal(t, len(result.Findings), 0, "%v after %v", result.Findings, result.Faults)
			assert.Assert(t, result.Served > 0)
		})
	}
}

// Streams joined from two software versions, since the entry of a restarted server names the one before
// (issue 48).
func TestSoakRestartedServersDoNotJoinSoftwareVersions(t *testing.T) {
	result := soakServers(t, soaker.Config{Seed: 481, Versions: true})
	assert.Equal(t, len(result.Findings), 0, "%v after %v", result.Findings, result.Faults)
	assert.Assert(t, result.Streams.TakeUps > 0)
}

// Answers without a length that look whole, though the process of their server died (issue 48).
func TestSoakDyingServersDoNotEndAnswersAsWhole(t *testing.T) {
	result := soakServers(t, soaker.Config{Seed: 482, Deaths: true})
	assert.Equal(t, len(result.Findings), 0, "%v after %v", result.Findings, result.Faults)
	assert.Assert(t, result.Served > 0)
}

// Streams that were cut behind their last event since their sound server was silent before it ended them (issue 70).
func TestSoakLateEndsOfStreamsAreNoCuts(t *testing.T) {
	result := soakServers(t, soaker.Config{Seed: 7002, LateEnds: true, FaultPause: 3 * clocker.Second})
	assert.Equal(t, len(result.Findings), 0, "%v after %v", result.Findings, result.Faults)
	assert.Assert(t, result.Served > 0)
}

// Requests that don't end took all memory of routers, whose callers then got no answers.
func TestSoakHostileClientsDoNotEndTheServiceOfOthers(t *testing.T) {
	result := soakServers(t, soaker.Config{Seed: 521, Hostile: 48})
	assert.Equal(t, len(result.Findings), 0, "%v after %v", result.Findings, result.Faults)
	assert.Assert(t, result.Served > 0)
}

// soakServers runs a soak whose backend servers restart or die.
func soakServers(t *testing.T, cfg soaker.Config) soaker.Result {
	cfg.Clock, cfg.Dialect, cfg.ReadyPath, cfg.Program = clocker.NewWall(), platform.Dialect, platform.ReadyPath, buildProgram(t)
	cfg.For = 12 * clocker.Second
	cfg.Routers, cfg.Servers, cfg.Callers, cfg.Prepaid = 3, 8, 24, 400_000
	result, err := soaker.Run(context.Background(), cfg)
	assert.NilError(t, err)
	return result
}

// Tokens of routers that were cut off by refused connections, without the store, were given to others while they went on
// spending them (issue 64).
func TestSoakRefusedConnectionsBetweenRoutersSpendNoTokensTwice(t *testing.T) {
	result, err := soaker.Run(context.Background(), soaker.Config{
		Clock: clocker.NewWall(), Dialect: platform.Dialect, ReadyPath: platform.ReadyPath, Program: buildProgram(t),
		Seed: 654, For: 20 * clocker.Second, Routers: 4, Servers: 3, Callers: 16, Prepaid: 30_000,
		FaultPause: 20 * clocker.Second, Cuts: true,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Findings), 0, "%v after %v", result.Findings, result.Faults)
	assert.Assert(t, result.Served > 0)
}
