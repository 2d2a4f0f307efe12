package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/decoder"
	"cowsliphinge/messenger"
)

// waitStepMs is the wait between two looks at a move.
const waitStepMs = 1000

type moveCommand struct {
	console
	change
	wait bool
}

// Name implements subcommands.Command.
func (*moveCommand) Name() string { return "move" }

// Synopsis implements subcommands.Command.
func (*moveCommand) Synopsis() string { return "plan, start, watch and cancel a move" }

// Usage implements subcommands.Command.
func (*moveCommand) Usage() string {
	return `cowsliphinge move [flags] plan NAME|FILE
cowsliphinge move [flags] start|status|cancel NAME
  plan tells the steps and what stands against a declared move or one in a
  file. start carries a planned or cancelled move out, cancel gives the
  leavings their work back. With -wait start and status return once the move
  is finished or cancelled, printing a line for each step that ends.
  Example: cowsliphinge move -timeout-ms 172800000 -wait start weekend
` + exitCodes
}

// SetFlags implements subcommands.Command.
func (c *moveCommand) SetFlags(f *flag.FlagSet) {
	c.console.setFlags(f)
	c.change.setFlags(f)
	f.BoolVar(&c.wait, "wait", false, "wait until the move is finished or cancelled")
}

// Execute implements subcommands.Command.
func (c *moveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.finish(c.run(ctx, f.Args()))
}

func (c *moveCommand) run(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return errUsage{"name an action and a move"}
	}
	s, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer s.cancel()
	switch args[0] {
	case "plan":
		return c.plan(s, args[1])
	case "start":
		return c.put(s, args[1], messenger.MoveState_STARTED)
	case "cancel":
		return c.put(s, args[1], messenger.MoveState_CANCELLED)
	case "status":
		if c.wait {
			return c.await(s, args[1])
		}
		return c.moveReport(s, args[1])
	}
	return errUsage{"unknown action " + args[0]}
}

func (c *moveCommand) plan(s *session, name string) error {
	move, err := c.moveOf(s, name)
	if err != nil {
		return err
	}
	report, err := s.PlanMove(s.ctx, &messenger.PlanMoveRequest{Move: move})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := c.show(report, func(w io.Writer) { moveTable(w, report) }); err != nil {
		return err
	}
	return c.findingsIn(name, report.Findings)
}

// moveOf returns the declared move of the name, or the one in a file.
func (c *moveCommand) moveOf(s *session, name string) (*messenger.Move, error) {
	if _, err := os.Stat(name); err == nil {
		move := &messenger.Move{}
		findings, err := decoder.File(name, move)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		return move, c.findingsIn(name, findings)
	}
	configuration, err := s.GetConfiguration(s.ctx, &messenger.GetConfigurationRequest{})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	found, err := selected(configuration.GetDeclarations(), []string{"moves", name})
	if err != nil {
		return nil, err
	}
	return found.Moves[0], nil
}

// put brings a declared move into a state.
func (c *moveCommand) put(s *session, name string, state messenger.MoveState) error {
	if err := c.complete(s); err != nil {
		return err
	}
	declared, err := c.moveOf(s, name)
	if err != nil {
		return err
	}
	move := proto.CloneOf(declared)
	move.State = state
	var reply *messenger.ApplyReply
	err = c.repeat(s, func() (err error) {
		reply, err = s.PutMove(s.ctx, &messenger.PutMoveRequest{OperationId: c.operation, ExpectedVersion: c.expect, Move: move, By: c.by})
		return err
	})
	if err != nil {
		return trace.Wrap(err, "operation %s", c.operation)
	}
	if err := c.applied(name, reply, c.operation, false); err != nil {
		return err
	}
	if c.wait && state == messenger.MoveState_STARTED {
		return c.await(s, name)
	}
	return nil
}

// await prints a line for each step that ends until the move has ended.
func (c *moveCommand) await(s *session, name string) error {
	printed := map[int64]bool{}
	for {
		report, err := s.GetMove(s.ctx, &messenger.GetMoveRequest{Name: name})
		if err != nil && !unavailable(err) {
			return trace.Wrap(err)
		}
		for _, step := range report.GetSteps() {
			if step.State == "Done" && !printed[step.Order] {
				printed[step.Order] = true
				fmt.Fprintf(c.err, "%s %s %s done\n", when(step.FinishedAtMs), step.Kind, step.Target)
			}
		}
		switch state := report.GetMove().GetState(); state {
		case messenger.MoveState_FINISHED, messenger.MoveState_CANCELLED:
			return c.moveReport(s, name)
		}
		if c.clock.Sleep(s.ctx, waitStepMs) != nil {
			return twirp.NewError(twirp.DeadlineExceeded, "move "+name+" has not ended within -timeout-ms")
		}
	}
}

func (c *console) moveReport(s *session, name string) error {
	report, err := s.GetMove(s.ctx, &messenger.GetMoveRequest{Name: name})
	if err != nil {
		return trace.Wrap(err)
	}
	return c.show(report, func(w io.Writer) { moveTable(w, report) })
}

func moveTable(w io.Writer, report *messenger.MoveReport) {
	m := report.Move
	row(w, "MOVE", "STATE", "START", "DRAIN", "DUE", "REQUESTS CUT")
	row(w, m.GetName(), m.GetState(), when(m.GetStartAtMs()), when(m.GetDrainAtMs()), when(m.GetDueAtMs()), report.RequestsCut)
	fmt.Fprintln(w)
	row(w, "STEP", "KIND", "TARGET", "ESTIMATE MS", "STATE", "FINISHED", "NOTE")
	for _, step := range report.Steps {
		row(w, step.Order, step.Kind, step.Target, step.EstimatedMs, step.State, when(step.FinishedAtMs), step.Note)
	}
	for _, f := range report.Findings {
		row(w, "finding", f.Path, f.Message)
	}
}
