package cmd

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"cowsliphinge/messenger"
)

type topUpCommand struct {
	console
	budget    string
	tokens    int64
	operation string
	by        string
}

// Name implements subcommands.Command.
func (*topUpCommand) Name() string { return "topup" }

// Synopsis implements subcommands.Command.
func (*topUpCommand) Synopsis() string { return "add tokens to a budget" }

// Usage implements subcommands.Command.
func (*topUpCommand) Usage() string {
	return `cowsliphinge topup -budget NAME -tokens N [-operation ID] [flags]
  Adds tokens to a budget. Repeated with the same operation ID it counts once.
  Example: cowsliphinge topup -budget aotea-memorials -tokens 1000000 -operation invoice-2041
` + exitCodes
}

// SetFlags implements subcommands.Command.
func (c *topUpCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
	f.StringVar(&c.budget, "budget", "", "`name` of the budget")
	f.Int64Var(&c.tokens, "tokens", 0, "`number` of tokens to add")
	f.StringVar(&c.operation, "operation", "", "operation `ID`, such as an invoice number; empty makes a new one")
	f.StringVar(&c.by, "by", os.Getenv("USER"), "`name` of the operator, for the record")
}

// Execute implements subcommands.Command.
func (c *topUpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.finish(c.run(ctx, f.Args()))
}

func (c *topUpCommand) run(ctx context.Context, args []string) error {
	if c.budget == "" || c.tokens <= 0 || len(args) > 0 {
		return errUsage{"-budget and -tokens above 0 are needed"}
	}
	s, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer s.cancel()
	if c.operation == "" {
		c.operation = newOperationID()
	}
	var reply *messenger.TopUpReply
	err = c.repeat(s, func() (err error) {
		reply, err = s.TopUp(s.ctx, &messenger.TopUpRequest{OperationId: c.operation, Budget: c.budget, Tokens: c.tokens, By: c.by})
		return err
	})
	if err != nil {
		return trace.Wrap(err, "operation %s", c.operation)
	}
	return c.show(reply, func(w io.Writer) {
		row(w, "BUDGET", "GRANTED", "REPEATED", "OPERATION")
		row(w, c.budget, reply.Granted, reply.Repeated, c.operation)
	})
}
