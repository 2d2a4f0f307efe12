// Package cmd holds one file per subcommand of the binary.
package cmd

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
)

// Run runs the subcommand that the arguments name and returns the exit code.
func Run(args []string) int {
	flags := flag.NewFlagSet("cowsliphinge", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "cowsliphinge")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.CommandsCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&serveCommand{}, "router")
	commander.Register(&routeCommand{}, "router")
	commander.Register(&demoCommand{}, "")
	commander.Register(&standinCommand{}, "router")
	commander.Register(&loadCommand{}, "measure")
	commander.Register(&checkCommand{}, "measure")
	commander.Register(&soakCommand{}, "measure")
	commander.Register(&versionCommand{}, "")
	for _, command := range operatorCommands(newConsole()) {
		commander.Register(command, "operators")
	}
	if err := flags.Parse(args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return int(commander.Execute(ctx))
}
