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

type describeCommand struct {
	console
}

// Name implements subcommands.Command.
func (*describeCommand) Name() string { return "describe" }

// Synopsis implements subcommands.Command.
func (*describeCommand) Synopsis() string { return "show one declared item with its present state" }

// Usage implements subcommands.Command.
func (*describeCommand) Usage() string {
	return `cowsliphinge describe [flags] client-account|service|backend-server|host|model|move NAME
  Shows all fields of one item and its state: the budget and bills of a client
  account, the status of a host or backend server, the progress of a move.
  Example: cowsliphinge describe client-account aotea-memorials
` + exitCodes
}

// SetFlags implements subcommands.Command.
func (c *describeCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
}

// Execute implements subcommands.Command.
func (c *describeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.finish(c.run(ctx, f.Args()))
}

func (c *describeCommand) run(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return errUsage{"name a kind and a name"}
	}
	list, ok := kinds[args[0]+"s"]
	if !ok {
		return errUsage{"unknown kind " + args[0]}
	}
	s, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer s.cancel()
	configuration, err := s.GetConfiguration(s.ctx, &messenger.GetConfigurationRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	found, err := selected(configuration.GetDeclarations(), []string{args[0] + "s", args[1]})
	if err != nil {
		return err
	}
	field := found.ProtoReflect().Descriptor().Fields().ByName(list)
	item := found.ProtoReflect().Get(field).List().Get(0).Message().Interface()
	if err := c.show(item, func(w io.Writer) { fieldTable(w, item) }); err != nil {
		return err
	}
	return c.state(s, args[0], found)
}

// state prints what is known of the item besides its declaration.
func (c *describeCommand) state(s *session, kind string, found *messenger.Declarations) error {
	switch kind {
	case "client-account":
		account := found.ClientAccounts[0]
		if err := c.showBudget(s, account.Budget); err != nil {
			return err
		}
		bills := billsCommand{console: c.console, clientAccount: account.Name}
		fmt.Fprintln(c.out)
		return bills.run(s.ctx, nil)
	case "move":
		return c.moveReport(s, found.Moves[0].Name)
	case "host", "backend-server":
		return c.seen(s, kind, found)
	}
	return nil
}

// seen prints the status lines of one host or backend server.
func (c *describeCommand) seen(s *session, kind string, found *messenger.Declarations) error {
	status, err := s.GetStatus(s.ctx, &messenger.GetStatusRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	only := &messenger.Status{ConfigurationVersion: status.ConfigurationVersion}
	for _, h := range status.Hosts {
		if kind == "host" && h.Name == found.Hosts[0].Name {
			only.Hosts = append(only.Hosts, h)
		}
	}
	for _, b := range status.BackendServers {
		if kind == "backend-server" && b.Name == found.BackendServers[0].Name {
			only.BackendServers = append(only.BackendServers, b)
		}
	}
	fmt.Fprintln(c.out)
	return c.show(only, func(w io.Writer) { statusTable(w, only) })
}
