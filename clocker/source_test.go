package clocker_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// harmless are the names of package time that neither read a clock nor make a point in
// time that lacks a reading of the steady clock.
var harmless = []string{"Time", "Duration", "Millisecond", "Second"}

// risky are methods and functions, of whatever they are called on, that take or make
// points in time of the time of day.
var risky = []string{
	"Unix", "UnixMilli", "UnixMicro", "UnixNano", "UTC", "Local", "In", "AddDate",
	"WithDeadline", "WithDeadlineCause", "DoDeadline", "GetDeadline", "PostDeadline", "ParseTime", "ModTime",
}

// timeOfDay returns what a file uses that reads the time of day or is compared with it.
func timeOfDay(t *testing.T, name string, source any) []string {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, name, source, parser.SkipObjectResolution)
	assert.NilError(t, err)
	local := ""
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		assert.NilError(t, err)
		own := path[strings.LastIndexByte(path, '/')+1:]
		if spec.Name != nil {
			own = spec.Name.Name
		}
		if path == "time" {
			local = own
		}
	}
	var uses []string
	ast.Inspect(file, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name := selector.Sel.Name
		x, plain := selector.X.(*ast.Ident)
		ofTime := plain && local != "" && x.Name == local
		if ofTime && !slices.Contains(harmless, name) || !ofTime && slices.Contains(risky, name) {
			uses = append(uses, fmt.Sprintf("%s: %s", files.Position(n.Pos()), name))
		}
		return true
	})
	if local == "." {
		uses = append(uses, name+": imports the names of package time")
	}
	return uses
}

// Guards against: code that reads the time of day, or makes a deadline that is compared
// with it, and so decides otherwise after a step of it. Package clocker alone uses the
// clocks of the machine.
func TestOnlyThisPackageReadsTheTimeOfDay(t *testing.T) {
	var checked int
	assert.NilError(t, filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if slices.Contains([]string{".git", "clocker", "messenger", "tools", "testdata"}, d.Name()) {
				return fs.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		checked++
		for _, use := range timeOfDay(t, path, nil) {
			t.Error(use)
		}
		return nil
	}))
	assert.Assert(t, checked > 100, "%d files", checked)
}

// Guards against: the check above overlooks what it is there to find.
func TestCheckFindsUsesOfTheTimeOfDay(t *testing.T) {
	for _, use := range []string{
		"var _ = time.Now()", "var _ = time.UnixMilli(5)", "var _ = time.Until(deadline)", "var _ = time.Date(1, 1, 1, 1, 1, 1, 1, nil)",
		"func f(t time.Time) { _ = t.UnixMilli() }", "func f(t time.Time) { conn.SetReadDeadline(t.UTC()) }",
		"func f() { ctx, c := context.WithDeadline(ctx, t) }", "func f() { _, _ = http.ParseTime(h) }", "func f() { client.DoDeadline(q, r, t) }",
		"func f() { time.AfterFunc(1, g) }", "func f() { <-time.After(1) }",
	} {
		assert.Equal(t, len(timeOfDay(t, "a.go", "package a\nimport \"time\"\n"+use)), 1, use)
	}
	assert.Equal(t, len(timeOfDay(t, "a.go", "package a\nimport x \"time\"\nvar _ = x.Now()")), 1)
	assert.Equal(t, len(timeOfDay(t, "a.go", "package a\nimport . \"time\"\nvar _ = Now()")), 1)
	assert.Equal(t, len(timeOfDay(t, "a.go", "package a\nimport \"time\"\nvar _ = 5 * time.Second\nfunc f(t time.Time) bool { return t.Before(t) }")), 0)
}

// Guards against: this package reads the time of day more than once in a clock's life.
func TestTimeOfDayIsReadOnceForAClock(t *testing.T) {
	source, err := os.ReadFile("clock.go")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(source), "time.Now()"), 2) // NewWall and FromNow
	assert.Equal(t, strings.Count(string(source), ".started.UnixMilli()")+strings.Count(string(source), ".started.UnixMicro()"), 2)
	at := clocker.FromNow(clocker.Second)
	assert.Assert(t, at != at.Round(0), "a deadline holds a reading of the steady clock")
}
