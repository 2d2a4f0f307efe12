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

type diffCommand struct {
	console
}

// Name implements subcommands.Command.
func (*diffCommand) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*diffCommand) Synopsis() string { return "compare declarations with the version in force" }

// Usage implements subcommands.Command.
func (*diffCommand) Usage() string {
	return `cowsliphinge diff [flags] FILE
  Lists what an apply of the file would change at the version in force.
  Example: cowsliphinge diff -address 127.0.0.1:8201 examples/kauri-lane/declarations.json
` + exitCodes
}

// SetFlags implements subcommands.Command.
func (c *diffCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
}

// Execute implements subcommands.Command.
func (c *diffCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.finish(c.run(ctx, f.Args()))
}

func (c *diffCommand) run(ctx context.Context, files []string) error {
	if len(files) != 1 {
		return errUsage{"name one file"}
	}
	d, err := c.readDeclarations(files[0])
	if err != nil {
		return err
	}
	s, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer s.cancel()
	reply, err := s.Diff(s.ctx, &messenger.DiffRequest{Declarations: d})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.show(reply, func(w io.Writer) { changeTable(w, reply.Changes) }); err != nil {
		return err
	}
	if c.output == "table" {
		fmt.Fprintf(c.out, "%d changes to version %d\n", len(reply.Changes), reply.Version)
	}
	return c.findingsIn(files[0], reply.Findings)
}
