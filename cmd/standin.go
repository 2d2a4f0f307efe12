package cmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/valyala/fasthttp"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/application"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/platform"
)

type standinCommand struct {
	kind     string
	address  string
	models   string
	slots    int
	prefill  float64
	decode   float64
	work     int64
	fencing  bool
	loadTime int64
}

// Name implements subcommands.Command.
func (*standinCommand) Name() string { return "standin" }

// Synopsis implements subcommands.Command.
func (*standinCommand) Synopsis() string { return "run a stand-in platform or backend server" }

// Usage implements subcommands.Command.
func (*standinCommand) Usage() string {
	return `cowsliphinge standin -kind platform|engine|application -address IP:PORT
  Runs a stand-in of an outside system until SIGTERM. POST /faults with a JSON
  object makes it fail on demand.
  Example: cowsliphinge standin -kind engine -address 127.0.0.1:9101 -models draft-1
`
}

// SetFlags implements subcommands.Command.
func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", "platform", "platform, engine or application")
	f.StringVar(&c.address, "address", "127.0.0.1:9000", "`address` to listen on")
	f.StringVar(&c.models, "models", "", "comma-separated models of an engine")
	f.IntVar(&c.slots, "slots", 16, "requests that run at once")
	f.Float64Var(&c.prefill, "prefill-ms", 0.05, "prefill time of a prompt token, in milliseconds")
	f.Float64Var(&c.decode, "decode-ms", 10, "time of a decoding step, in milliseconds")
	f.Int64Var(&c.work, "work-ms", 5, "time of an application call, in milliseconds")
	f.BoolVar(&c.fencing, "checks-fencing", false, "refuse orders with an old fencing number")
	f.Int64Var(&c.loadTime, "load-ms", 500, "time to load a model, in milliseconds")
}

// Execute implements subcommands.Command.
func (c *standinCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	handler, err := c.handler()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe(c.address) }()
	select {
	case err := <-failed:
		fmt.Fprintln(os.Stderr, "cannot listen:", err)
		return subcommands.ExitFailure
	case <-ctx.Done():
		_ = server.Shutdown()
		return subcommands.ExitSuccess
	}
}

func (c *standinCommand) handler() (fasthttp.RequestHandler, error) {
	clock := clocker.NewWall()
	switch c.kind {
	case "platform":
		return platform.New(clock).Handler, nil
	case "application":
		return application.New(application.Config{Name: c.address, Clock: clock, WorkMs: clocker.Millis(c.work), Slots: c.slots}).Handler, nil
	case "engine":
		return engine.New(engine.Config{
			Name:              c.address,
			Clock:             clock,
			Slots:             c.slots,
			PrefillMsPerToken: c.prefill,
			DecodeMsPerToken:  c.decode,
			Models:            strings.Split(c.models, ","),
			LoadMsPerModel:    clocker.Millis(c.loadTime),
			ChecksFencing:     c.fencing,
		}).Handler, nil
	default:
		return nil, errors.New("kind must be platform, engine or application")
	}
}
