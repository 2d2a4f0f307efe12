package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"

	"cowsliphinge/decoder"
	"cowsliphinge/messenger"
	"cowsliphinge/validator"
)

type validateCommand struct {
	console
}

// Name implements subcommands.Command.
func (*validateCommand) Name() string { return "validate" }

// Synopsis implements subcommands.Command.
func (*validateCommand) Synopsis() string { return "check declarations and settings files" }

// Usage implements subcommands.Command.
func (*validateCommand) Usage() string {
	return `cowsliphinge validate [-o table|json] FILE...
  Checks declarations and settings files and prints all findings with file and
  JSON path. Settings are also checked against declarations given with them.
  Example: cowsliphinge validate examples/kauri-lane/declarations.json examples/kauri-lane/hosts/akl-a-1.json
` + exitCodes
}

// SetFlags implements subcommands.Command.
func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	c.setOutputFlag(f)
}

// Execute implements subcommands.Command.
func (c *validateCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.finish(c.run(f.Args()))
}

func (c *validateCommand) run(files []string) error {
	if len(files) == 0 {
		return errUsage{"name at least one file"}
	}
	set := fileSet{settings: map[string]*messenger.Settings{}}
	for _, name := range files {
		if err := set.read(name); err != nil {
			return trace.Wrap(err)
		}
	}
	set.checkTogether(files)
	if c.output == "json" {
		return c.json(set.findings)
	}
	if err := c.findingsIn("", set.findings); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%d files, no findings\n", len(files))
	return nil
}

func (c *validateCommand) json(findings []*messenger.Finding) error {
	if err := c.show(&messenger.DiffReply{Findings: findings}, nil); err != nil {
		return err
	}
	if len(findings) > 0 {
		return errFindings{}
	}
	return nil
}

// fileSet is what the files of one command line hold.
type fileSet struct {
	declarations *messenger.Declarations
	settings     map[string]*messenger.Settings
	findings     []*messenger.Finding
}

func (s *fileSet) read(name string) error {
	content, err := os.ReadFile(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if !holdsSettings(content) {
		d := &messenger.Declarations{}
		findings := decoder.Bytes(name, content, d)
		if len(findings) == 0 {
			s.declarations = d
			findings = validator.Declarations(name, d)
		}
		s.findings = append(s.findings, findings...)
		return nil
	}
	settings := &messenger.Settings{}
	findings := decoder.Bytes(name, content, settings)
	if len(findings) == 0 {
		s.settings[name] = settings
		findings = validator.Settings(name, settings)
	}
	s.findings = append(s.findings, findings...)
	return nil
}

// holdsSettings tells settings from declarations by their keys.
func holdsSettings(content []byte) bool {
	var keys struct {
		Host            json.RawMessage
		ExchangeAddress json.RawMessage
		PlatformURL     json.RawMessage `json:"PlatformUrl"`
	}
	_ = json.Unmarshal(content, &keys)
	return keys.Host != nil || keys.ExchangeAddress != nil || keys.PlatformURL != nil
}

// checkTogether checks settings against the declarations, in the order of the files.
func (s *fileSet) checkTogether(files []string) {
	if s.declarations == nil {
		return
	}
	for _, name := range files {
		if settings := s.settings[name]; settings != nil {
			s.findings = append(s.findings, validator.Together(name, settings, s.declarations)...)
		}
	}
}

// readDeclarations reads a declarations file; findings of form are printed.
func (c *console) readDeclarations(name string) (*messenger.Declarations, error) {
	d := &messenger.Declarations{}
	findings, err := decoder.File(name, d)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(findings) == 0 {
		findings = validator.Declarations(name, d)
	}
	return d, c.findingsIn(name, findings)
}
