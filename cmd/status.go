package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"cowsliphinge/messenger"
)

type statusCommand struct {
	console
	budget string
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show hosts, versions in force, limits and moves" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `cowsliphinge status [-budget NAME] [flags]
  Shows the fleet as one router sees it: the version in force at each host and
  how far it lags, tokens held, backend servers and moves; with -budget also
  the limits and stranded tokens of a budget.
  Example: cowsliphinge status -address 127.0.0.1:8201 -budget aotea-memorials
` + exitCodes
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.budget, "budget", "", "also show this budget")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.finish(c.run(ctx, f.Args()))
}

func (c *statusCommand) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return errUsage{"takes flags only"}
	}
	s, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer s.cancel()
	status, err := s.GetStatus(s.ctx, &messenger.GetStatusRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.show(status, func(w io.Writer) { statusTable(w, status) }); err != nil {
		return err
	}
	if c.budget == "" {
		return nil
	}
	return c.showBudget(s, c.budget)
}

func (c *console) showBudget(s *session, name string) error {
	report, err := s.GetBudget(s.ctx, &messenger.GetBudgetRequest{Budget: name})
	if err != nil {
		return trace.Wrap(err)
	}
	return c.show(report, func(w io.Writer) { budgetTable(w, report) })
}

func statusTable(w io.Writer, status *messenger.Status) {
	newest := status.ConfigurationVersion
	for _, h := range status.Hosts {
		newest = max(newest, h.ConfigurationVersion)
	}
	row(w, "HOST", "ZONE", "VERSION", "BEHIND", "LAST HEARD", "DRAINING", "IN FLIGHT", "HELD TOKENS", "PLATFORM", "INCARNATION")
	for _, h := range status.Hosts {
		row(w, h.Name, h.AvailabilityZone, h.ConfigurationVersion, newest-h.ConfigurationVersion, when(h.LastHeardMs),
			h.Draining, h.InFlight, h.HeldTokens, h.PlatformReachable, h.Incarnation)
	}
	fmt.Fprintln(w)
	row(w, "BACKEND SERVER", "ZONE", "SERVICE", "IN FLIGHT", "LEAVING", "EJECTED")
	for _, b := range status.BackendServers {
		row(w, b.Name, b.AvailabilityZone, b.Service, b.InFlight, b.Leaving, b.Ejected)
	}
	for _, report := range status.Moves {
		fmt.Fprintln(w)
		moveTable(w, report)
	}
}

func budgetTable(w io.Writer, report *messenger.BudgetReport) {
	fmt.Fprintln(w)
	row(w, "BUDGET", "GRANTED", "ASSIGNED", "CHARGED", "UNASSIGNED", "STRANDED")
	row(w, report.Budget, report.Granted, report.Assigned, report.Charged, report.Unassigned, report.Stranded)
	fmt.Fprintln(w)
	row(w, "HOLDER", "LIMIT", "CHARGE", "CLOSED")
	for _, h := range report.Holders {
		row(w, h.Incarnation, h.Limit, h.Charge, h.Closed)
	}
}
