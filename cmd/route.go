package cmd

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"cowsliphinge/clocker"
	"cowsliphinge/logger"
	"cowsliphinge/platform"
	"cowsliphinge/runner"
)

const (
	// settingsVariable names the settings file of a process on the platform.
	settingsVariable = "COWSLIPHINGE_NODE_FILE"
	// memoryShare is the part of the memory bound that the collector aims at.
	memoryShare = 0.6
	// storeTimeout bounds a call to the store, in milliseconds: a hundred times its
	// usual answer.
	storeTimeout = 400 * clocker.Millis(1)
	// collectPercent trades a little processor time for a small heap.
	collectPercent = 40
)

type routeCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*routeCommand) Name() string { return "route" }

// Synopsis implements subcommands.Command.
func (*routeCommand) Synopsis() string { return "run a router on the operators' platform" }

// Usage implements subcommands.Command.
func (*routeCommand) Usage() string {
	return `cowsliphinge route [-settings FILE]
  Runs a router whose routes, client accounts and backend servers come from the
  operators' platform, until SIGTERM, then stops without cutting a request.
  The settings file is the one that ` + settingsVariable + ` names.
  Example: cowsliphinge route -settings examples/platform/settings.json
  Exit codes: 0 clean stop, 1 failed or requests were cut, 2 usage, 3 findings.
`
}

// SetFlags implements subcommands.Command.
func (c *routeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(settingsVariable), "settings `file`")
}

// Execute implements subcommands.Command.
func (c *routeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // until the end: it must not end a process that starts or stops
	settings, err := runner.ReadSettings(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "settings:", err)
		return exitFindings
	}
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMb<<20) * memoryShare))
	out := logger.NewWriter(os.Stdout)
	clock := clocker.NewWall()
	defer out.Close(clock)
	log := logger.New(out, runner.ApplyLogLevel(settings))
	slog.SetDefault(log)
	r, err := runner.New(context.Background(), runner.Config{Settings: settings, Platform: adapter(settings), Clock: clock, Log: log})
	if err != nil {
		log.Error("cannot start", "cause", err.Error())
		return subcommands.ExitFailure
	}
	c.reloadOnHangup(ctx, hangups, r, log)
	if r.Stop(context.Background()) > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// adapter returns the operators' platform.
func adapter(settings runner.Settings) runner.Platform {
	store := platform.NewClient(platform.Config{Address: settings.StoreAddress, Timeout: storeTimeout, Log: slog.Default()})
	return runner.Platform{
		Store:             store,
		StoreEra:          store.Era,
		Dialect:           platform.Dialect,
		ReadyPath:         platform.ReadyPath,
		ConfigurationKey:  platform.ConfigurationKey,
		ServerKind:        platform.ServerKind,
		DecodeDeclaration: platform.Declaration,
		DecodeServer:      platform.Server,
		DecodeValue:       platform.Value,
		Identity:          &platform.Identity,
	}
}

// reloadOnHangup takes over the settings file at each SIGHUP until ctx ends.
func (c *routeCommand) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, r *runner.Runner, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		settings, err := runner.ReadSettings(c.settings)
		if err != nil {
			log.Error("settings can't be read, those in force stay", "cause", err.Error())
			continue
		}
		r.Reload(settings)
	}
}
