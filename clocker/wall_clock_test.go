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

// allowedTimeNames are the names of package time that neither read a clock nor create a
// point in time without a monotonic clock reading.
var allowedTimeNames = []string{"Time", "Duration", "Millisecond", "Second"}

// wallClockNames are methods and functions of any type or package that take or return
// points in time of the wall clock.
var wallClockNames = []string{
	"Unix", "UnixMilli", "UnixMicro", "UnixNano", "UTC", "Local", "In", "AddDate",
	"WithDeadline", "WithDeadlineCause", "DoDeadline", "GetDeadline", "PostDeadline", "ParseTime", "ModTime",
}

// wallClockUses returns the uses in a file that read the wall clock or are compared with
// it.
func wallClockUses(t *testing.T, name string, source any) []string {
	t.Helper()
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, name, source, parser.SkipObjectResolution)
	assert.NilError(t, err)
	timeImport := ""
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		assert.NilError(t, err)
		importName := path[strings.LastIndexByte(path, '/')+1:]
		if spec.Name != nil {
			importName = spec.Name.Name
		}
		if path == "time" {
			timeImport = importName
		}
	}
	var uses []string
	ast.Inspect(file, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name := selector.Sel.Name
		x, isIdent := selector.X.(*ast.Ident)
		isTimePackage := isIdent && timeImport != "" && x.Name == timeImport
		if isTimePackage && !slices.Contains(allowedTimeNames, name) || !isTimePackage && slices.Contains(wallClockNames, name) {
			uses = append(uses, fmt.Sprintf("%s: %s", fileSet.Position(n.Pos()), name))
		}
		return true
	})
	if timeImport == "." {
		uses = append(uses, name+": dot import of package time")
	}
	return uses
}

// Guards against: code outside package clocker reads the wall clock, or creates a deadline
// that is compared with it, and decides wrongly after the wall clock is stepped.
func TestOnlyClockerReadsTheWallClock(t *testing.T) {
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
		for _, use := range wallClockUses(t, path, nil) {
			t.Error(use)
		}
		return nil
	}))
	assert.Assert(t, checked > 100, "only %d files checked", checked)
}

// Guards against: the check above misses a use of the wall clock.
func TestWallClockCheckFindsUses(t *testing.T) {
	for _, use := range []string{
		"var _ = time.Now()", "var _ = time.UnixMilli(5)", "var _ = time.Until(deadline)", "var _ = time.Date(1, 1, 1, 1, 1, 1, 1, nil)",
		"func f(t time.Time) { _ = t.UnixMilli() }", "func f(t time.Time) { conn.SetReadDeadline(t.UTC()) }",
		"func f() { ctx, c := context.WithDeadline(ctx, t) }", "func f() { _, _ = http.ParseTime(h) }", "func f() { client.DoDeadline(q, r, t) }",
		"func f() { time.AfterFunc(1, g) }", "func f() { <-time.After(1) }",
	} {
		assert.Equal(t, len(wallClockUses(t, "a.go", "package a\nimport \"time\"\n"+use)), 1, use)
	}
	assert.Equal(t, len(wallClockUses(t, "a.go", "package a\nimport x \"time\"\nvar _ = x.Now()")), 1)
	assert.Equal(t, len(wallClockUses(t, "a.go", "package a\nimport . \"time\"\nvar _ = Now()")), 1)
	assert.Equal(t, len(wallClockUses(t, "a.go", "package a\nimport \"time\"\nvar _ = 5 * time.Second\nfunc f(t time.Time) bool { return t.Before(t) }")), 0)
}

// Guards against: a Clock reads the wall clock again after it was created.
func TestWallClockIsReadOncePerClock(t *testing.T) {
	source, err := os.ReadFile("clock.go")
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(source), "time.Now()"), 2) // NewWall and FromNow
	assert.Equal(t, strings.Count(string(source), ".started.UnixMilli()")+strings.Count(string(source), ".started.UnixMicro()"), 2)
	at := clocker.FromNow(clocker.Second)
	assert.Assert(t, at != at.Round(0), "FromNow returned a time without a monotonic clock reading")
}
