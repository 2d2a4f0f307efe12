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

// A soak in which servers name limits lasts longer: a limit is judged from three seconds on, over
// four.
func TestShortSoakWithLimits(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cowsliphinge")
	out, err := exec.Command("go", "build", "-o", program, "cowsliphinge").CombinedOutput()
	assert.NilError(t, err, string(out))
	result, err := soaker.Run(context.Background(), soaker.Config{
		Clock:   clocker.NewWall(),
		Dialect: platform.Dialect,
		Program: program,
		Seed:    1,
		For:     12 * clocker.Second,
		Routers: 3,
		Servers: 3,
		Callers: 6,
		Prepaid: 8000,
		Limits:  true,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Findings), 0, "%v after %v", result.Findings, result.Faults)
	assert.Assert(t, result.Served > 0)
}

func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "cowsliphinge")
	out, err := exec.Command("go", "build", "-o", program, "cowsliphinge").CombinedOutput()
	assert.NilError(t, err, string(out))
	for _, seed := range soakSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			result, err := soaker.Run(context.Background(), soaker.Config{
				Clock:   clocker.NewWall(),
				Dialect: platform.Dialect,
				Program: program,
				Seed:    seed,
				For:     6 * clocker.Second,
				Routers: 3,
				Servers: 2,
				Callers: 4,
				Prepaid: 4000,
			})
			assert.NilError(t, err)
			assert.Equal(t, len(result.Findings), 0, "%v after %v", result.Findings, result.Faults)
			assert.Assert(t, result.Served > 0)
		})
	}
}
