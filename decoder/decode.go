// Package decoder reads settings and declarations from JSON. It collects all
// findings of a file, each with its JSON path, before it gives up.
package decoder

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"cowsliphinge/messenger"
)

// maxDepth bounds the nesting of a file.
const maxDepth = 32

// ErrFindings holds everything that is wrong with some files.
type ErrFindings struct {
	Findings []*messenger.Finding
}

// Error lists the findings, one a line.
func (err ErrFindings) Error() string {
	lines := make([]string, 0, len(err.Findings))
	for _, f := range err.Findings {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", f.File, f.Path, f.Message))
	}
	return strings.Join(lines, "\n")
}

// IsErrFindings reports whether err is an ErrFindings.
func IsErrFindings(err error) bool {
	var target ErrFindings
	return errors.As(err, &target)
}

// File decodes the named file into message and returns its findings. The error
// is set only if the file cannot be read.
func File(name string, message proto.Message) ([]*messenger.Finding, error) {
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Bytes(name, content, message), nil
}

// Bytes decodes content into message and returns its findings; file is the
// name that they carry. Without findings the message is complete.
func Bytes(file string, content []byte, message proto.Message) []*messenger.Finding {
	c := &collector{file: file}
	tree, err := parse(content)
	if err != nil {
		c.add("$", "is not valid JSON: %v", err)
		return c.findings
	}
	c.message("$", tree, message.ProtoReflect().Descriptor(), 0)
	if len(c.findings) > 0 {
		return c.findings
	}
	if err := protojson.Unmarshal(content, message); err != nil {
		c.add("$", "%v", err)
	}
	return c.findings
}

func parse(content []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(content))
	d.UseNumber()
	var tree any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more follows behind the first value")
	}
	return tree, nil
}

type collector struct {
	file     string
	findings []*messenger.Finding
}

func (c *collector) add(path, format string, args ...any) {
	c.findings = append(c.findings, &messenger.Finding{File: c.file, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *collector) message(path string, tree any, d protoreflect.MessageDescriptor, depth int) {
	object, ok := tree.(map[string]any)
	if !ok {
		c.add(path, "must be an object")
		return
	}
	if depth > maxDepth {
		c.add(path, "is nested too deep")
		return
	}
	for _, key := range sortedKeys(object) {
		field := d.Fields().ByName(protoreflect.Name(key))
		if field == nil {
			c.add(path+"."+key, "is an unknown key")
			continue
		}
		c.field(path+"."+key, object[key], field, depth)
	}
}

func (c *collector) field(path string, tree any, d protoreflect.FieldDescriptor, depth int) {
	if !d.IsList() {
		c.value(path, tree, d, depth)
		return
	}
	items, ok := tree.([]any)
	if !ok {
		c.add(path, "must be a list")
		return
	}
	for i, item := range items {
		c.value(fmt.Sprintf("%s[%d]", path, i), item, d, depth)
	}
}

func (c *collector) value(path string, tree any, d protoreflect.FieldDescriptor, depth int) {
	switch d.Kind() {
	case protoreflect.MessageKind:
		c.message(path, tree, d.Message(), depth+1)
	case protoreflect.EnumKind:
		c.enum(path, tree, d.Enum())
	case protoreflect.BoolKind:
		if _, ok := tree.(bool); !ok {
			c.add(path, "must be true or false")
		}
	case protoreflect.StringKind, protoreflect.BytesKind:
		if _, ok := tree.(string); !ok {
			c.add(path, "must be a string")
		}
	default:
		c.integer(path, tree)
	}
}

func (c *collector) enum(path string, tree any, d protoreflect.EnumDescriptor) {
	name, ok := tree.(string)
	if ok && d.Values().ByName(protoreflect.Name(name)) != nil {
		return
	}
	var names []string
	for i := 1; i < d.Values().Len(); i++ {
		names = append(names, string(d.Values().Get(i).Name()))
	}
	c.add(path, "must be one of %s", strings.Join(names, ", "))
}

// integer checks a whole number, which protobuf's JSON mapping also writes as a string.
func (c *collector) integer(path string, tree any) {
	if text, ok := tree.(string); ok {
		tree = json.Number(text)
	}
	n, ok := tree.(json.Number)
	if !ok {
		c.add(path, "must be a whole number")
		return
	}
	v, err := n.Int64()
	if err != nil {
		c.add(path, "must be a whole number that fits 64 bits")
		return
	}
	if v < 0 {
		c.add(path, "must not be negative")
	}
}
