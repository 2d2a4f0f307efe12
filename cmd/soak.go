package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"cowsliphinge/clocker"
	"cowsliphinge/platform"
	"cowsliphinge/soaker"
)

type soakCommand struct {
	seed     uint64
	seeds    uint64
	seconds  int64
	routers  int
	servers  int
	callers  int
	prepaid  int64
	limits   bool
	restores bool
	versions bool
	deaths   bool
	late     bool
	cuts     bool
	hostile  int
	program  string
	pause    int64
	keep     bool
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string { return "harm real routers on loopback and check the promises" }

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return `cowsliphinge soak [-seed N] [-seeds N] [-seconds S]
  Starts routers as processes, with stand-ins of the store and of backend servers
  behind loopback proxies, harms them by a seed while callers go on, and checks the
  promises. It ends only processes that it started.
  Example: cowsliphinge soak -seed 7 -seconds 20
  Exit codes: 0 every promise held, 1 findings or the run failed, 2 usage.
`
}

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "seed", 1, "first `seed`")
	f.Uint64Var(&c.seeds, "seeds", 1, "how `many` seeds to run, one after the other")
	f.Int64Var(&c.seconds, "seconds", 15, "`seconds` of faults for each seed")
	f.IntVar(&c.routers, "routers", 4, "how `many` router processes")
	f.IntVar(&c.servers, "servers", 3, "how `many` backend servers")
	f.IntVar(&c.callers, "callers", 8, "how `many` callers")
	f.Int64Var(&c.prepaid, "prepaid", 40000, "`tokens` of the larger account")
	f.BoolVar(&c.limits, "limits", false, "let backend servers name limits of requests")
	f.BoolVar(&c.restores, "restores", false, "bring the store back from copies")
	f.BoolVar(&c.versions, "versions", false, "restart backend servers under their IDs with another software version")
	f.BoolVar(&c.cuts, "cuts", false, "cut routers off from each other, some without the store")
	f.BoolVar(&c.deaths, "deaths", false, "let backend servers answer without a length and die")
	f.BoolVar(&c.late, "late", false, "let backend servers be silent before they end streams")
	f.IntVar(&c.hostile, "hostile", 0, "how `many` clients send requests that don't end; routers get little memory")
	f.Int64Var(&c.pause, "pause", 500, "mean `milliseconds` between two faults of routers and store")
	f.StringVar(&c.program, "program", "", "`path` of the binary whose routers run; the own one if empty")
	f.BoolVar(&c.keep, "keep", false, "keep settings and logs of the routers")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	program := c.program
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			fmt.Fprintln(os.Stderr, "cannot find the own program:", err)
			return subcommands.ExitFailure
		}
		program = own
	}
	status := subcommands.ExitSuccess
	for seed := c.seed; seed < c.seed+c.seeds && ctx.Err() == nil; seed++ {
		result, err := soaker.Run(ctx, soaker.Config{
			Clock:     clocker.NewWall(),
			Dialect:   platform.Dialect,
			ReadyPath: platform.ReadyPath,
			Program:   program,
			Seed:      seed,
			For:       clocker.Millis(c.seconds) * clocker.Second,
			Routers:   c.routers,
			Servers:   c.servers,
			Callers:   c.callers,
			Prepaid:   c.prepaid,
			Limits:    c.limits,

			Restores:   c.restores,
			FaultPause: clocker.Millis(c.pause),
			Versions:   c.versions,
			Deaths:     c.deaths,
			Cuts:       c.cuts,
			LateEnds:   c.late,
			Hostile:    c.hostile,
			Keep:       c.keep,
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, "the run failed:", err)
			return subcommands.ExitFailure
		}
		fmt.Printf("seed %d: %d requests, %d served, %d faults, %d findings\n", seed, result.Requests, result.Served, len(result.Faults), len(result.Findings))
		s := result.Streams
		fmt.Printf("  %d streams joined, %d answers short but complete, %d whole, %d broken (%d behind their last byte)\n  %v\n  at routers in touch %v\n", s.Joined, s.Short, s.Whole, s.Broken, s.Unconfirmed, s, result.Judged)
		for _, number := range result.Unready {
			fmt.Printf("  router %d was not ready within 10 s at the start\n", number)
		}
		if len(result.Findings) > 0 {
			status = subcommands.ExitFailure
		} else if !c.keep {
			continue
		}
		for _, f := range result.Findings {
			fmt.Println("  finding:", f)
		}
		for _, f := range result.Faults {
			fmt.Println("  fault:", f)
		}
		if c.keep {
			fmt.Println("  logs:", result.Folder)
		}
	}
	return status
}
