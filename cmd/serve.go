package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"cowsliphinge/clocker"
	"cowsliphinge/decoder"
	"cowsliphinge/messenger"
	"cowsliphinge/router"
	"cowsliphinge/validator"
)

// exitFindings is the exit code for files with findings.
const exitFindings subcommands.ExitStatus = 3

type serveCommand struct {
	settings string
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run a router" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return `cowsliphinge serve -settings FILE
  Runs a router until SIGTERM or SIGINT, or until a move in force says that the
  host leaves, then stops without cutting a request.
  A second signal, or the stop bound of the policy, ends it with a report.
  Example: cowsliphinge serve -settings examples/settings.json
  Exit codes: 0 clean stop, 1 failed or requests were cut, 2 usage, 3 findings.
`
}

// SetFlags implements subcommands.Command.
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "settings.json", "settings `file`")
}

// Execute implements subcommands.Command.
func (c *serveCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	settings, status := readSettings(c.settings)
	if status != subcommands.ExitSuccess {
		return status
	}
	if settings.MemoryMb > 0 {
		debug.SetGCPercent(collectPercent)
		debug.SetMemoryLimit(int64(float64(settings.MemoryMb<<20) * memoryShare))
	}
	log := newLogger(os.Stderr, settings)
	slog.SetDefault(log)
	r, err := router.New(context.Background(), router.Config{Settings: settings, Clock: clocker.NewWall(), Log: log})
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		return subcommands.ExitFailure
	}
	select {
	case <-ctx.Done():
	case <-r.Leaving():
		log.Info("leaving by a move in force")
	}
	second, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report := r.Drain(second)
	if !report.Clean() {
		fmt.Fprintf(os.Stderr, "stopped with %d requests cut, not closed: %v\n", report.RequestsCut, report.NotClosed)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// readSettings reads a settings file and prints its findings.
func readSettings(name string) (*messenger.Settings, subcommands.ExitStatus) {
	settings := &messenger.Settings{}
	findings, err := decoder.File(name, settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot read settings:", err)
		return nil, subcommands.ExitFailure
	}
	if len(findings) == 0 {
		findings = validator.Settings(name, settings)
	}
	if len(findings) > 0 {
		fmt.Fprintln(os.Stderr, decoder.ErrFindings{Findings: findings})
		return nil, exitFindings
	}
	return settings, subcommands.ExitSuccess
}

// newLogger returns a logger in the format and level of the settings.
func newLogger(w io.Writer, settings *messenger.Settings) *slog.Logger {
	options := &slog.HandlerOptions{}
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.LogLevel)); err == nil {
		options.Level = level
	}
	if settings.LogFormat == "Json" {
		return slog.New(slog.NewJSONHandler(w, options))
	}
	return slog.New(slog.NewTextHandler(w, options))
}
