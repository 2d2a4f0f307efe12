package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/google/subcommands"
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"cowsliphinge/messenger"
)

// kinds maps what operators write to the field of the declarations.
var kinds = map[string]protoreflect.Name{
	"client-accounts": "ClientAccounts",
	"services":        "Services",
	"backend-servers": "BackendServers",
	"hosts":           "Hosts",
	"models":          "Models",
	"moves":           "Moves",
}

type getCommand struct {
	console
}

// Name implements subcommands.Command.
func (*getCommand) Name() string { return "get" }

// Synopsis implements subcommands.Command.
func (*getCommand) Synopsis() string { return "show what is declared in the version in force" }

// Usage implements subcommands.Command.
func (*getCommand) Usage() string {
	return `cowsliphinge get [flags] declarations|policy|client-accounts|services|backend-servers|hosts|models|moves [NAME]
  Shows what is declared. "get -o json declarations" writes a file that apply takes.
  Example: cowsliphinge get -o json declarations
` + exitCodes
}

// SetFlags implements subcommands.Command.
func (c *getCommand) SetFlags(f *flag.FlagSet) {
	c.setFlags(f)
}

// Execute implements subcommands.Command.
func (c *getCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.finish(c.run(ctx, f.Args()))
}

func (c *getCommand) run(ctx context.Context, args []string) error {
	if len(args) == 0 || len(args) > 2 || !knownKind(args[0]) {
		return errUsage{"name a kind, and perhaps a name"}
	}
	s, err := c.open(ctx)
	if err != nil {
		return err
	}
	defer s.cancel()
	configuration, err := s.GetConfiguration(s.ctx, &messenger.GetConfigurationRequest{})
	if err != nil {
		return trace.Wrap(err)
	}
	d := configuration.GetDeclarations()
	if d == nil {
		d = &messenger.Declarations{}
	}
	switch args[0] {
	case "declarations":
		return c.show(d, func(w io.Writer) { summaryTable(w, configuration) })
	case "policy":
		return c.show(d.GetPolicy(), func(w io.Writer) { fieldTable(w, d.GetPolicy()) })
	}
	found, err := selected(d, args)
	if err != nil {
		return err
	}
	return c.show(found, func(w io.Writer) { itemTable(w, found, kinds[args[0]]) })
}

func knownKind(kind string) bool {
	_, listed := kinds[kind]
	return listed || kind == "declarations" || kind == "policy"
}

// selected returns declarations that hold only the asked kind and name.
func selected(d *messenger.Declarations, args []string) (*messenger.Declarations, error) {
	field := d.ProtoReflect().Descriptor().Fields().ByName(kinds[args[0]])
	only := &messenger.Declarations{}
	from := d.ProtoReflect().Get(field).List()
	to := only.ProtoReflect().Mutable(field).List()
	for i := range from.Len() {
		if len(args) == 1 || nameOf(from.Get(i).Message()) == args[1] {
			to.Append(from.Get(i))
		}
	}
	if len(args) == 2 && to.Len() == 0 {
		return nil, trace.NotFound("%s %s is not declared", args[0], args[1])
	}
	return only, nil
}

func nameOf(m protoreflect.Message) string {
	return m.Get(m.Descriptor().Fields().ByName("Name")).String()
}

// itemTable prints one line for each item, with a column for each field.
func itemTable(w io.Writer, d *messenger.Declarations, list protoreflect.Name) {
	field := d.ProtoReflect().Descriptor().Fields().ByName(list)
	columns := field.Message().Fields()
	var header []any
	for i := range columns.Len() {
		header = append(header, strings.ToUpper(string(columns.Get(i).Name())))
	}
	row(w, header...)
	items := d.ProtoReflect().Get(field).List()
	for i := range items.Len() {
		var cells []any
		for j := range columns.Len() {
			cells = append(cells, cell(items.Get(i).Message(), columns.Get(j)))
		}
		row(w, cells...)
	}
}

// cell renders one field of an item.
func cell(m protoreflect.Message, field protoreflect.FieldDescriptor) string {
	value := m.Get(field)
	name := string(field.Name())
	switch {
	case field.IsList():
		var texts []string
		for i := range value.List().Len() {
			texts = append(texts, value.List().Get(i).String())
		}
		return strings.Join(texts, ",")
	case field.Kind() == protoreflect.EnumKind:
		return string(field.Enum().Values().ByNumber(value.Enum()).Name())
	case strings.HasSuffix(name, "AtMs"):
		return when(value.Int())
	default:
		return value.String()
	}
}

// fieldTable prints one line for each field of a message.
func fieldTable(w io.Writer, m proto.Message) {
	fields := m.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		row(w, fields.Get(i).Name(), cell(m.ProtoReflect(), fields.Get(i)))
	}
}

func summaryTable(w io.Writer, configuration *messenger.Configuration) {
	d := configuration.GetDeclarations()
	row(w, "DEPLOYMENT", d.GetDeployment())
	row(w, "VERSION", configuration.Version)
	row(w, "APPLIED BY", configuration.AppliedBy)
	row(w, "APPLIED AT", when(configuration.AppliedAtMs))
	row(w, "OPERATION", configuration.OperationId)
	names := make([]string, 0, len(kinds))
	for kind := range kinds {
		names = append(names, kind)
	}
	slices.Sort(names)
	for _, kind := range names {
		field := d.ProtoReflect().Descriptor().Fields().ByName(kinds[kind])
		row(w, strings.ToUpper(kind), fmt.Sprint(d.ProtoReflect().Get(field).List().Len()))
	}
}
