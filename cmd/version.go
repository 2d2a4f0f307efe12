package cmd

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionCommand struct{}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print build information" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string {
	return "cowsliphinge version\n  Prints the Go version and, where known, the revision of the build.\n"
}

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("cowsliphinge, build information is missing")
		return subcommands.ExitSuccess
	}
	fmt.Println("cowsliphinge", info.Main.Version, info.GoVersion)
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" || setting.Key == "vcs.time" || setting.Key == "vcs.modified" {
			fmt.Println(setting.Key, setting.Value)
		}
	}
	return subcommands.ExitSuccess
}
