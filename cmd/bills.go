package cmd

import (
	"context"
	"flag"
	"io"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"cowsliphinge/messenger"
)

type billsCommand struct {
	console
	clientAccount string
	budget        string
}

// Name implements subcommands.Command.
func (*billsCommand) Name() string { return "bills" }

// Synopsis implements subcommands.Command.
func (*billsCommand) Synopsis() string { return "total the bills by client account and budget" }

// Usage implements subcommands.Command.
func (*billsCommand) Usage() string {
	return `cowsliphinge bills [-client-account NAME] [-budget NAME] [flags]
  Totals requests and tokens as billed.
  Example: cowsliphinge bills -client-account aotea-memorials -o json
` + exitCodes
}

// SetFlags implements subcommands.Command.
func (c *billsCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.clientAccount, "client-account", "", "only this client account")
	f.StringVar(&c.budget, "budget", "", "only this budget")
}

// Execute implements subcommands.Command.
func (c *billsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.finish(c.run(ctx, f.Args()))
}

func (c *billsCommand) run(ctx context.Context, args []string) error {
	if len(args) > 0 {
		return errUsage{"takes flags only"}
	}
	s, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer s.cancel()
	reply, err := s.SumBills(s.ctx, &messenger.SumBillsRequest{ClientAccount: c.clientAccount, Budget: c.budget})
	if err != nil {
		return trace.Wrap(err)
	}
	return c.show(reply, func(w io.Writer) {
		row(w, "CLIENT ACCOUNT", "BUDGET", "REQUESTS", "TOKENS")
		for _, sum := range reply.Sums {
			row(w, sum.ClientAccount, sum.Budget, sum.Requests, sum.Tokens)
		}
	})
}
