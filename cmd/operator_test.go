package cmd

import (
	"bytes"
	"context"
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"cowsliphinge/clocker"
	"cowsliphinge/examples"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/fleet"
)

// terminal runs subcommands against one router of a fleet.
type terminal struct {
	t       *testing.T
	address string
	keyFile string
}

// run returns the exit code, standard output and standard error.
func (t terminal) run(args ...string) (subcommands.ExitStatus, string, string) {
	t.t.Helper()
	var out, err bytes.Buffer
	c := console{out: &out, err: &err, clock: clocker.NewWall()}
	for _, command := range operatorCommands(c) {
		if command.Name() != args[0] {
			continue
		}
		flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
		command.SetFlags(flags)
		line := args[1:]
		if flags.Lookup("address") != nil {
			line = append([]string{"-address", t.address, "-key-file", t.keyFile}, line...)
		}
		assert.NilError(t.t, flags.Parse(line))
		return command.Execute(context.Background(), flags), out.String(), err.String()
	}
	t.t.Fatalf("no subcommand %s", args[0])
	return 0, "", ""
}

// startTerminal starts the stand-ins of a deployment and its first router.
func startTerminal(t *testing.T) (terminal, *messenger.Declarations) {
	d, err := examples.Declarations("kauri-lane")
	assert.NilError(t, err)
	f, err := fleet.Start(fleet.Config{Declarations: d, Clock: clocker.NewWall(), Log: slog.New(slog.DiscardHandler)})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	assert.NilError(t, f.StartHost(context.Background(), "akl-a-1"))
	keyFile := filepath.Join(t.TempDir(), "operator.key")
	assert.NilError(t, os.WriteFile(keyFile, []byte(fleet.OperatorKey+"\n"), 0o600))
	address := ""
	for _, h := range f.Declarations.Hosts {
		if h.Name == "akl-a-1" {
			address = h.ExchangeAddress
		}
	}
	return terminal{t: t, address: address, keyFile: keyFile}, f.Declarations
}

func writeDeclarations(t *testing.T, d *messenger.Declarations) string {
	t.Helper()
	encoded, err := protojson.Marshal(d)
	assert.NilError(t, err)
	name := filepath.Join(t.TempDir(), "declarations.json")
	assert.NilError(t, os.WriteFile(name, encoded, 0o600))
	return name
}

func TestOperatorsCommandLine(t *testing.T) {
	term, d := startTerminal(t)
	file := writeDeclarations(t, d)

	code, out, _ := term.run("apply", "-dry-run", file)
	assert.Equal(t, code, subcommands.ExitSuccess)
	assert.Assert(t, is.Contains(out, "dry run: "))

	code, out, errs := term.run("apply", "-by", "ann", "-expect", "0", "-operation", "first", file)
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	assert.Assert(t, is.Contains(out, "version 1, operation first"))

	code, out, _ = term.run("apply", "-by", "ann", "-expect", "0", "-operation", "first", file)
	assert.Equal(t, code, subcommands.ExitSuccess)
	assert.Assert(t, is.Contains(out, "version 1, operation first"))

	code, _, errs = term.run("apply", "-by", "bob", "-expect", "0", file)
	assert.Equal(t, code, exitConflict)
	assert.Assert(t, is.Contains(errs, `based on version 0, but version 1 is present, applied by "ann"`))

	d.ClientAccounts[0].Weight = 9
	code, out, _ = term.run("diff", writeDeclarations(t, d))
	assert.Equal(t, code, subcommands.ExitSuccess)
	assert.Assert(t, is.Contains(out, "1 changes to version 1"))
	assert.Assert(t, is.Contains(out, "$.ClientAccounts["+d.ClientAccounts[0].Name+"].Weight"))

	code, out, _ = term.run("get", "-o", "json", "declarations")
	assert.Equal(t, code, subcommands.ExitSuccess)
	assert.NilError(t, protojson.Unmarshal([]byte(out), &messenger.Declarations{}))

	code, out, _ = term.run("get", "backend-servers")
	assert.Equal(t, code, subcommands.ExitSuccess)
	assert.Equal(t, strings.Count(out, "\n"), 1+len(d.BackendServers))

	code, out, _ = term.run("status")
	assert.Equal(t, code, subcommands.ExitSuccess)
	assert.Assert(t, is.Contains(out, "akl-a-1"))
}

func TestOperatorsMoneyCommands(t *testing.T) {
	term, d := startTerminal(t)
	budget := d.ClientAccounts[0].Budget
	code, _, errs := term.run("apply", writeDeclarations(t, d))
	assert.Equal(t, code, subcommands.ExitSuccess, errs)

	for _, repeated := range []string{"false", "true"} {
		code, out, errs := term.run("topup", "-budget", budget, "-tokens", "500", "-operation", "invoice-1")
		assert.Equal(t, code, subcommands.ExitSuccess, errs)
		assert.Assert(t, is.Contains(out, "500      "+repeated))
	}
	code, out, errs := term.run("describe", "client-account", d.ClientAccounts[0].Name)
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	assert.Assert(t, is.Contains(out, "STRANDED"))
	code, out, errs = term.run("bills", "-o", "json")
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	assert.Assert(t, is.Contains(out, "{"))
}

func TestOperatorsExitCodes(t *testing.T) {
	term, d := startTerminal(t)
	d.Hosts[0].Name = "not a name"
	d.BackendServers[0].Service = "missing"
	file := writeDeclarations(t, d)
	code, _, errs := term.run("validate", file)
	assert.Equal(t, code, exitFindings)
	assert.Assert(t, is.Contains(errs, file+": $.Hosts[0].Name: may hold"))
	assert.Assert(t, is.Contains(errs, file+`: $.BackendServers[0].Service: no service is named "missing"`))

	code, _, _ = term.run("apply", file)
	assert.Equal(t, code, exitFindings)
	code, _, _ = term.run("apply")
	assert.Equal(t, code, subcommands.ExitUsageError)
	code, _, _ = term.run("validate", "missing.json")
	assert.Equal(t, code, subcommands.ExitFailure)
	code, _, _ = term.run("get", "hosts", "nobody")
	assert.Equal(t, code, subcommands.ExitFailure)
	assert.NilError(t, os.WriteFile(term.keyFile, []byte("wrong"), 0o600))
	code, _, errs = term.run("status")
	assert.Equal(t, code, subcommands.ExitFailure)
	assert.Assert(t, is.Contains(errs, "the key is missing or wrong"))
	code, _, _ = term.run("status", "-address", "127.0.0.1:1")
	assert.Equal(t, code, exitUnavailable)
}

func TestValidateChecksSettingsAgainstDeclarations(t *testing.T) {
	term := terminal{t: t}
	dir := filepath.Join("..", "examples", "kauri-lane")
	code, out, errs := term.run("validate", filepath.Join(dir, "declarations.json"), filepath.Join(dir, "hosts", "akl-a-1.json"))
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	assert.Equal(t, out, "2 files, no findings\n")
	other := filepath.Join("..", "examples", "tastatur-samlet", "hosts", "oslo-a-1.json")
	code, _, errs = term.run("validate", filepath.Join(dir, "declarations.json"), other)
	assert.Equal(t, code, exitFindings)
	assert.Assert(t, is.Contains(errs, `oslo-a-1.json: $.Host: no host is named "oslo-a-1" in the declarations`))
}

func TestOperatorsMoveCommands(t *testing.T) {
	term, d := startTerminal(t)
	now := int64(clocker.NewWall().Now())
	leaving := d.BackendServers[0].Name
	d.Moves = []*messenger.Move{{
		Name: "weekend", State: messenger.MoveState_PLANNED, LeavingBackendServers: []string{leaving},
		StartAtMs: now, DrainAtMs: now + int64(clocker.Hour), DueAtMs: now + int64(8*clocker.Hour),
	}}
	code, _, errs := term.run("apply", writeDeclarations(t, d))
	assert.Equal(t, code, subcommands.ExitSuccess, errs)

	code, out, errs := term.run("move", "plan", "weekend")
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	assert.Assert(t, is.Contains(out, "Drain"))
	assert.Assert(t, is.Contains(errs, "warning: $.DueAtMs: the move lasts"))

	code, out, errs = term.run("move", "start", "weekend")
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	assert.Assert(t, is.Contains(out, "$.Moves[weekend].State"))
	code, out, errs = term.run("move", "-o", "json", "status", "weekend")
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	var report messenger.MoveReport
	assert.NilError(t, protojson.Unmarshal([]byte(out), &report))
	assert.Equal(t, report.Move.State, messenger.MoveState_STARTED)
	code, _, errs = term.run("move", "-wait", "-timeout-ms", "100", "status", "weekend")
	assert.Equal(t, code, exitUnavailable, errs)
	code, _, errs = term.run("move", "cancel", "weekend")
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	code, out, errs = term.run("move", "-wait", "status", "weekend")
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	assert.Assert(t, is.Contains(out, "CANCELLED"))

	d.Moves[0].State = messenger.MoveState_STARTED
	d.Moves[0].DrainAtMs = now
	code, _, errs = term.run("apply", writeDeclarations(t, d))
	assert.Equal(t, code, exitFindings)
	assert.Assert(t, is.Contains(errs, "$.Moves[0].DrainAtMs: must be at least 5000 ms ahead"))
}

// TestOutputOfGetCanBeApplied sends what is in force through a file.
func TestOutputOfGetCanBeApplied(t *testing.T) {
	term, d := startTerminal(t)
	code, _, errs := term.run("apply", writeDeclarations(t, d))
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	code, out, errs := term.run("get", "-o", "json", "declarations")
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	name := filepath.Join(t.TempDir(), "got.json")
	assert.NilError(t, os.WriteFile(name, []byte(out), 0o600))
	code, out, errs = term.run("diff", name)
	assert.Equal(t, code, subcommands.ExitSuccess, errs)
	assert.Assert(t, is.Contains(out, "0 changes to version 1"))
}
