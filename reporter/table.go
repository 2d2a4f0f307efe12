// Package reporter writes the reports of loads as tables, JSON and plots.
package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"cowsliphinge/loader"
)

// WriteJSON writes reports as one JSON list.
func WriteJSON(w io.Writer, reports []loader.Report) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(reports))
}

// WriteTable writes one column for each report.
func WriteTable(w io.Writer, reports []loader.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, value func(r loader.Report) any) {
		_, _ = fmt.Fprintf(t, "%s\t", name)
		for _, r := range reports {
			_, _ = fmt.Fprintf(t, "%v\t", value(r))
		}
		_, _ = fmt.Fprintln(t)
	}
	row("", func(r loader.Report) any { return r.Name })
	row("seed", func(r loader.Report) any { return r.Seed })
	row("duration s", func(r loader.Report) any { return fmt.Sprintf("%.1f", float64(r.DurationMs)/1000) })
	row("sent", func(r loader.Report) any { return r.Sent })
	row("shed by the sender", func(r loader.Report) any { return r.Shed })
	latencyRows(row, "first token", func(r loader.Report) loader.Latency { return r.FirstToken })
	latencyRows(row, "between tokens", func(r loader.Report) loader.Latency { return r.BetweenTokens })
	latencyRows(row, "whole answer", func(r loader.Report) loader.Latency { return r.WholeAnswer })
	for _, name := range names(reports, func(r loader.Report) []loader.Count { return r.Outcomes }) {
		row(name, func(r loader.Report) any { return count(r.Outcomes, name) })
	}
	for _, name := range names(reports, func(r loader.Report) []loader.Count { return r.Codes }) {
		row("code "+name, func(r loader.Report) any { return count(r.Codes, name) })
	}
	for _, name := range names(reports, func(r loader.Report) []loader.Count { return r.Platform }) {
		row("platform "+name, func(r loader.Report) any { return count(r.Platform, name) })
	}
	verdictRows(row)
	return trace.Wrap(t.Flush())
}

type rowFunc func(name string, value func(r loader.Report) any)

func latencyRows(row rowFunc, name string, latency func(r loader.Report) loader.Latency) {
	row(name+" p50 ms", func(r loader.Report) any { return fmt.Sprintf("%.2f", latency(r).P50) })
	row(name+" p95 ms", func(r loader.Report) any { return fmt.Sprintf("%.2f", latency(r).P95) })
	row(name+" p99 ms", func(r loader.Report) any { return fmt.Sprintf("%.2f", latency(r).P99) })
}

func verdictRows(row rowFunc) {
	row("false refusals", func(r loader.Report) any { return r.Verdict.FalseRefusals })
	row("overspent tokens", func(r loader.Report) any { return r.Verdict.OverspentTokens })
	row("double runs", func(r loader.Report) any { return r.Verdict.DoubleRuns })
	row("double bills", func(r loader.Report) any { return r.Verdict.DoubleBills })
	row("missing bills", func(r loader.Report) any { return r.Verdict.MissingBills })
	row("wrong bills", func(r loader.Report) any { return r.Verdict.WrongBills })
	row("wrong answers", func(r loader.Report) any { return r.Verdict.WrongAnswers })
	row("false not run", func(r loader.Report) any { return r.Verdict.FalseNotRun })
	row("cut requests", func(r loader.Report) any { return r.Verdict.CutRequests })
	row("work after leaving", func(r loader.Report) any { return r.Verdict.WorkAfterLeaving })
	row("verdict", func(r loader.Report) any {
		if r.Verdict.Holds() {
			return "holds"
		}
		return "BROKEN"
	})
}

// names returns all names of counts, sorted.
func names(reports []loader.Report, counts func(r loader.Report) []loader.Count) []string {
	var found []string
	for _, r := range reports {
		for _, c := range counts(r) {
			found = append(found, c.Name)
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

func count(counts []loader.Count, name string) int64 {
	for _, c := range counts {
		if c.Name == name {
			return c.Count
		}
	}
	return 0
}
