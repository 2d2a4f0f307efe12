package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"cowsliphinge/checker"
)

// checkCommand verifies a history file.
type checkCommand struct{}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a recorded history against every promise" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string { return "check FILE...\n" }

// SetFlags implements subcommands.Command.
func (*checkCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command. It fails if a promise is broken.
func (*checkCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "check needs the name of a history file")
		return subcommands.ExitUsageError
	}
	status := subcommands.ExitSuccess
	for _, name := range flags.Args() {
		verdict, err := checkFile(name)
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			return subcommands.ExitFailure
		}
		encoded, _ := json.MarshalIndent(verdict, "", "  ")
		fmt.Printf("%s\n", encoded)
		if !verdict.Holds() {
			status = subcommands.ExitFailure
		}
	}
	return status
}

func checkFile(name string) (checker.Verdict, error) {
	file, err := os.Open(name)
	if err != nil {
		return checker.Verdict{}, err
	}
	defer func() { _ = file.Close() }()
	history, err := checker.Read(file)
	if err != nil {
		return checker.Verdict{}, err
	}
	return checker.Check(history), nil
}
