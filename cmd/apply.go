package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"cowsliphinge/messenger"
)

// anyVersion stands for the version that is in force when the command starts.
const anyVersion = -1

type applyCommand struct {
	console
	change
	dryRun bool
}

// change holds the flags of a command that makes a new version.
type change struct {
	expect    int64
	operation string
	by        string
}

func (c *change) setFlags(f *flag.FlagSet) {
	f.Int64Var(&c.expect, "expect", anyVersion, "`version` that the change is based on; -1 means the one in force now")
	f.StringVar(&c.operation, "operation", "", "operation `ID`, to repeat an earlier command; empty makes a new one")
	f.StringVar(&c.by, "by", os.Getenv("USER"), "`name` of the operator, for the record")
}

// complete fills in what the command line left open.
func (c *change) complete(s *session) error {
	if c.operation == "" {
		c.operation = newOperationID()
	}
	if c.expect != anyVersion {
		return nil
	}
	configuration, err := s.GetConfiguration(s.ctx, &messenger.GetConfigurationRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	c.expect = configuration.Version
	return nil
}

// Name implements subcommands.Command.
func (*applyCommand) Name() string { return "apply" }

// Synopsis implements subcommands.Command.
func (*applyCommand) Synopsis() string { return "put declarations in force as one version" }

// Usage implements subcommands.Command.
func (*applyCommand) Usage() string {
	return `cowsliphinge apply [-dry-run] [-expect VERSION] [flags] FILE
  Replaces the declarations as one version. While the outcome is unknown it
  repeats under the same operation ID, which it prints.
  Example: cowsliphinge apply -by ann -expect 7 examples/kauri-lane/declarations.json
` + exitCodes
}

// SetFlags implements subcommands.Command.
func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.console.setFlags(f)
	c.change.setFlags(f)
	f.BoolVar(&c.dryRun, "dry-run", false, "tell findings and changes without making a version")
}

// Execute implements subcommands.Command.
func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.finish(c.run(ctx, f.Args()))
}

func (c *applyCommand) run(ctx context.Context, files []string) error {
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
	if err := c.complete(s); err != nil {
		return err
	}
	var reply *messenger.ApplyReply
	err = c.repeat(s, func() (err error) {
		reply, err = s.Apply(s.ctx, &messenger.ApplyRequest{
			OperationId: c.operation, ExpectedVersion: c.expect, Declarations: d, DryRun: c.dryRun, By: c.by,
		})
		return err
	})
	if err != nil {
		return trace.Wrap(err, "operation %s", c.operation)
	}
	return c.applied(files[0], reply, c.operation, c.dryRun)
}

// applied prints the reply of a command that makes a new version.
func (c *console) applied(file string, reply *messenger.ApplyReply, operation string, dryRun bool) error {
	if err := c.show(reply, func(w io.Writer) { changeTable(w, reply.Changes) }); err != nil {
		return err
	}
	if err := c.findingsIn(file, reply.Findings); err != nil {
		return err
	}
	switch {
	case c.output == "json":
	case dryRun:
		fmt.Fprintf(c.out, "dry run: %d changes to version %d\n", len(reply.Changes), reply.Version)
	default:
		fmt.Fprintf(c.out, "version %d, operation %s\n", reply.Version, operation)
	}
	return nil
}
