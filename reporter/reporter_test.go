package reporter_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/checker"
	"cowsliphinge/loader"
	"cowsliphinge/reporter"
)

func reports() []loader.Report {
	return []loader.Report{
		{
			Name: "before", Sent: 10, Seed: 4,
			FirstToken: loader.Latency{Count: 2, P95: 12.5, Curve: []loader.Point{{Percent: 0, Ms: 1}, {Percent: 95, Ms: 12.5}}},
			Codes:      []loader.Count{{Name: "BudgetExhausted", Count: 3}},
			Platform:   []loader.Count{{Name: "writes", Count: 21}},
			Spend:      []loader.Spend{{ClientAccount: "large", Granted: 100, Served: 90}},
		},
		{Name: "after", Verdict: checker.Verdict{OverspentTokens: 7}},
	}
}

func TestTableHasAColumnForEachReport(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, reporter.WriteTable(&out, reports()))
	for row, want := range map[string]string{
		"code BudgetExhausted": "3 0",
		"first token p95 ms":   "12.50 0.00",
		"overspent tokens":     "0 7",
		"platform writes":      "21 0",
		"verdict":              "holds BROKEN",
	} {
		found := ""
		for line := range strings.Lines(out.String()) {
			if rest, ok := strings.CutPrefix(strings.TrimSpace(line), row); ok {
				found = strings.Join(strings.Fields(rest), " ")
			}
		}
		assert.Equal(t, found, want, row)
	}
}

func TestJSONReadsBack(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, reporter.WriteJSON(&out, reports()))
	var back []loader.Report
	assert.NilError(t, json.Unmarshal(out.Bytes(), &back))
	assert.DeepEqual(t, back, reports())
}

func TestPlotsAreImages(t *testing.T) {
	directory := t.TempDir()
	assert.NilError(t, reporter.WritePlots(directory, reports()))
	for name, want := range map[string]string{
		"first-token.svg":    "before",
		"between-tokens.svg": "Time between tokens",
		"refusals.svg":       "BudgetExhausted",
		"spend.svg":          "large",
	} {
		content, err := os.ReadFile(filepath.Join(directory, name))
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(string(content), want), name)
		decoder := xml.NewDecoder(bytes.NewReader(content))
		for err == nil {
			_, err = decoder.Token()
		}
		assert.Assert(t, errors.Is(err, io.EOF), "%s: %v", name, err)
	}
}
