package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"cowsliphinge/demonstrator"
)

type demoCommand struct {
	deployment string
	seed       uint64
	json       bool
	verbose    bool
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string { return "run a whole deployment on loopback and check it" }

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `cowsliphinge demo [-deployment kauri-lane|tastatur-samlet] [-seed N] [-json]
  Starts stand-ins and routers of a deployment in one process on loopback,
  drives callers while a small move runs, a host dies, an availability zone is
  cut off and a top-up arrives, and checks what callers and backend servers
  saw. Takes under a minute.
  Example: cowsliphinge demo -deployment tastatur-samlet -seed 7
  Exit codes: 0 every promise was kept, 1 one was not, 2 usage.
`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "deployment", "kauri-lane", "example deployment")
	f.Uint64Var(&c.seed, "seed", 1, "seed of arrivals, accounts and prompts")
	f.BoolVar(&c.json, "json", false, "print the result as one JSON object")
	f.BoolVar(&c.verbose, "verbose", false, "print the log lines of the routers")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	logs := io.Discard
	if c.verbose {
		logs = os.Stderr
	}
	log := slog.New(slog.NewTextHandler(logs, nil))
	slog.SetDefault(log)
	result, err := demonstrator.Run(ctx, demonstrator.Config{
		Deployment: c.deployment,
		Seed:       c.seed,
		Out:        os.Stderr,
		Log:        log,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo did not run to its end:", err)
		return subcommands.ExitFailure
	}
	c.print(result)
	if !result.Holds() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *demoCommand) print(r demonstrator.Result) {
	if c.json {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(r)
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"Requests", r.Requests},
		{"Answered", r.Answered},
		{"RefusedNotRun", r.RefusedNotRun},
		{"OutcomeUnknown", r.OutcomeUnknown},
		{"FalseRefusals", r.FalseRefusals},
		{"OverspentTokens", r.OverspentTokens},
		{"DoubleRuns", r.DoubleRuns},
		{"DoubleBills", r.DoubleBills},
		{"MissingBills", r.MissingBills},
		{"WrongBills", r.WrongBills},
		{"WrongAnswers", r.WrongAnswers},
		{"FalseNotRun", r.FalseNotRun},
		{"CutRequests", r.CutRequests},
		{"WorkAfterLeaving", r.WorkAfterLeaving},
		{"VersionFaults", r.VersionFaults},
		{"BudgetFaults", r.BudgetFaults},
		{"CleanStops", fmt.Sprintf("%d of %d", r.DrainedHosts, r.PlannedStops)},
	}
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	for _, code := range r.Codes {
		fmt.Fprintf(w, "code %s\t%d\n", code.Name, code.Count)
	}
	_ = w.Flush()
	for _, violation := range r.Violations {
		fmt.Println("violation:", violation)
	}
	fmt.Println("every promise kept:", r.Holds())
}
