// Package differ lists the differences between two versions of the declarations.
package differ

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"cowsliphinge/messenger"
)

// Kinds of a change.
const (
	Added   = "Added"
	Changed = "Changed"
	Removed = "Removed"
)

// nameField identifies an item of a list.
const nameField = protoreflect.Name("Name")

// Diff returns what changed from before to after, ordered by path. Items of
// lists are told apart by name, so their order does not count.
func Diff(before, after *messenger.Declarations) []*messenger.Change {
	d := &diff{}
	d.message("$", before.ProtoReflect(), after.ProtoReflect())
	slices.SortStableFunc(d.changes, func(a, b *messenger.Change) int { return strings.Compare(a.Path, b.Path) })
	return d.changes
}

type diff struct {
	changes []*messenger.Change
}

func (d *diff) add(kind, path, before, after string) {
	d.changes = append(d.changes, &messenger.Change{Kind: kind, Path: path, Before: before, After: after})
}

func (d *diff) message(path string, before, after protoreflect.Message) {
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		d.field(path+"."+string(field.Name()), field, before, after)
	}
}

func (d *diff) field(path string, field protoreflect.FieldDescriptor, before, after protoreflect.Message) {
	switch {
	case before.Get(field).Equal(after.Get(field)):
	case field.IsList() && field.Kind() == protoreflect.MessageKind:
		d.list(path, byName(before.Get(field).List()), byName(after.Get(field).List()))
	case field.Kind() == protoreflect.MessageKind && !field.IsList():
		d.message(path, before.Get(field).Message(), after.Get(field).Message())
	default:
		d.add(Changed, path, show(field, before), show(field, after))
	}
}

func (d *diff) list(path string, before, after map[string]protoreflect.Message) {
	for name, old := range before {
		item := fmt.Sprintf("%s[%s]", path, name)
		if now, ok := after[name]; ok {
			d.message(item, old, now)
			continue
		}
		d.add(Removed, item, whole(old), "")
	}
	for name, now := range after {
		if _, ok := before[name]; !ok {
			d.add(Added, fmt.Sprintf("%s[%s]", path, name), "", whole(now))
		}
	}
}

func byName(list protoreflect.List) map[string]protoreflect.Message {
	items := make(map[string]protoreflect.Message, list.Len())
	for i := range list.Len() {
		m := list.Get(i).Message()
		items[m.Get(m.Descriptor().Fields().ByName(nameField)).String()] = m
	}
	return items
}

func whole(m protoreflect.Message) string {
	return compact(m.Interface())
}

// show renders one field of a message.
func show(field protoreflect.FieldDescriptor, m protoreflect.Message) string {
	value := m.Get(field)
	if !field.IsList() {
		if field.Kind() == protoreflect.EnumKind {
			return string(field.Enum().Values().ByNumber(value.Enum()).Name())
		}
		return value.String()
	}
	items := make([]string, 0, value.List().Len())
	for i := range value.List().Len() {
		items = append(items, value.List().Get(i).String())
	}
	return strings.Join(items, ",")
}

func compact(m proto.Message) string {
	encoded, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err.Error()
	}
	// The encoder adds spaces at random; remove those behind separators.
	return strings.NewReplacer(`", "`, `","`, `": `, `":`, `, "`, `,"`, `{ "`, `{"`).Replace(string(encoded))
}
