package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
	"cowsliphinge/comparer"
	"cowsliphinge/loader"
	"cowsliphinge/reporter"
)

// loadCommand sends load to a running fleet, or compares variants.
type loadCommand struct {
	plan       string
	experiment string
	seed       uint64
	out        string
	json       bool
	quiet      bool
}

// Name implements subcommands.Command.
func (*loadCommand) Name() string { return "load" }

// Synopsis implements subcommands.Command.
func (*loadCommand) Synopsis() string { return "send load to a fleet, or compare variants of one" }

// Usage implements subcommands.Command.
func (*loadCommand) Usage() string {
	return `cowsliphinge load -plan FILE | -experiment FILE [-seed N] [-out DIRECTORY] [-json]
  Sends the load of a plan to a running fleet, or runs each variant of an
  experiment in this process. Fails if a promise was broken.
  Example: cowsliphinge load -experiment experiments/headroom.json -seed 7 -out /tmp/headroom
`
}

// SetFlags implements subcommands.Command.
func (c *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.plan, "plan", "", "JSON `file` of a plan")
	f.StringVar(&c.experiment, "experiment", "", "JSON `file` of an experiment")
	f.Uint64Var(&c.seed, "seed", 0, "seed in place of the file's own")
	f.StringVar(&c.out, "out", "", "`directory` for histories, report.json and plots")
	f.BoolVar(&c.json, "json", false, "print JSON in place of a table")
	f.BoolVar(&c.quiet, "quiet", false, "tell no progress")
}

// Execute implements subcommands.Command.
func (c *loadCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if (c.plan == "") == (c.experiment == "") {
		fmt.Fprintln(os.Stderr, "load needs either -plan or -experiment")
		return subcommands.ExitUsageError
	}
	reports, err := c.run(ctx)
	if failed := c.write(reports); err == nil {
		err = failed
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, r := range reports {
		if !r.Verdict.Holds() {
			return subcommands.ExitFailure
		}
	}
	return subcommands.ExitSuccess
}

func (c *loadCommand) run(ctx context.Context) ([]loader.Report, error) {
	if c.out != "" {
		if err := os.MkdirAll(c.out, 0o755); err != nil {
			return nil, trace.ConvertSystemError(err)
		}
	}
	var progress io.Writer = os.Stderr
	if c.quiet {
		progress = nil
	}
	files := &historyFiles{directory: c.out}
	reports, err := c.send(ctx, files, progress)
	if closed := files.close(); err == nil {
		err = closed
	}
	return reports, trace.Wrap(err)
}

func (c *loadCommand) send(ctx context.Context, files *historyFiles, progress io.Writer) ([]loader.Report, error) {
	clock := clocker.NewWall()
	if c.experiment != "" {
		e, err := comparer.Read(c.experiment)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
		return comparer.Run(ctx, comparer.Config{Clock: clock, Log: log, Seed: c.seed, Progress: progress, History: files.open}, e)
	}
	plan, err := loader.ReadPlan(c.plan)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if c.seed != 0 {
		plan.Seed = c.seed
	}
	recorder := checker.NewRecorder(files.open(plan.Name))
	report, err := loader.Run(ctx, loader.Config{Plan: plan, Clock: clock, Recorder: recorder, Progress: progress})
	return []loader.Report{report}, trace.Wrap(err)
}

func (c *loadCommand) write(reports []loader.Report) error {
	if c.out != "" {
		file, err := os.Create(filepath.Join(c.out, "report.json"))
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer func() { _ = file.Close() }()
		if err := reporter.WriteJSON(file, reports); err != nil {
			return trace.Wrap(err)
		}
		if err := reporter.WritePlots(c.out, reports); err != nil {
			return trace.Wrap(err)
		}
	}
	if c.json {
		return reporter.WriteJSON(os.Stdout, reports)
	}
	return reporter.WriteTable(os.Stdout, reports)
}

// historyFiles are the history files of one command.
type historyFiles struct {
	directory string
	files     []*os.File
	err       error
}

// open returns the history file of a name, or nil without a directory.
func (h *historyFiles) open(name string) io.Writer {
	if h.directory == "" {
		return nil
	}
	file, err := os.Create(filepath.Join(h.directory, filepath.Base(name)+".jsonl"))
	if err != nil {
		h.err = trace.ConvertSystemError(err)
		return nil
	}
	h.files = append(h.files, file)
	return file
}

func (h *historyFiles) close() error {
	for _, file := range h.files {
		if err := file.Close(); err != nil && h.err == nil {
			h.err = trace.ConvertSystemError(err)
		}
	}
	return h.err
}
