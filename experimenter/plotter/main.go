// Command plotter runs the routing experiments side by side, prints their
// tables and writes their plots.
package main

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cowsliphinge/experimenter"
)

const (
	plotWidth  = 15 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// loads are multiples of what the engines answer under least in flight.
var loads = []float64{0.5, 0.9, 1.2, 2}

// scenario is a change of the default parameters.
type scenario struct {
	name   string
	change func(p *experimenter.Parameters)
}

var scenarios = []scenario{
	{"12 engines", func(*experimenter.Parameters) {}},
	{"one engine at a tenth of its speed", func(p *experimenter.Parameters) { p.SlowEngine = 10 }},
	{"one availability zone gone", func(p *experimenter.Parameters) { p.ZoneGoneAt = 50_000 }},
	{"prefixes hardly shared", func(p *experimenter.Parameters) { p.Prefixes, p.Skew = 100_000, 1.01 }},
	{"30% of answers failing", func(p *experimenter.Parameters) { p.FailingShare = 0.3 }},
	{"one client account asks ten times as much", func(p *experimenter.Parameters) {
		p.Demand = []float64{10, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	}},
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the runs")
	workers := flag.Int("workers", 4, "runs at the same time")
	directory := flag.String("plots", "docs/plots", "directory of the plots")
	flag.Parse()
	if err := run(*seed, *workers, *directory); err != nil {
		slog.Error("experiment failed", "Error", err)
		os.Exit(1)
	}
}

func run(seed uint64, workers int, directory string) error {
	p := experimenter.Defaults()
	p.Seed = seed
	capacity := experimenter.Capacity(p, experimenter.LeastInFlight)
	fmt.Printf("seed %d, capacity %.1f answers/s under least in flight\n", seed, capacity)
	p.Length = 300_000
	var first []experimenter.Result
	for i, s := range scenarios {
		results := experimenter.RunAll(cases(p, s, capacity), workers)
		printTable(s.name, results)
		if i == 0 {
			first = results
		}
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	return draw(directory, first)
}

// cases are all policies at all loads, the loads of one policy together.
func cases(p experimenter.Parameters, s scenario, capacity float64) []experimenter.Case {
	var all []experimenter.Case
	for _, policy := range experimenter.Policies() {
		for _, load := range loads {
			q := p
			q.Rate = capacity * load
			s.change(&q)
			all = append(all, experimenter.Case{Parameters: q, Policy: policy})
		}
	}
	return all
}

func printTable(name string, results []experimenter.Result) {
	fmt.Printf("\n### %s\n\n", name)
	fmt.Println("| policy | load | p50 ms | p95 ms | p99 ms | p95 of answered ms | goodput /s | answered | prefix hits | attempts per request | smallest share |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	for i, r := range results {
		fmt.Printf("| %s | %.1f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f%% | %.0f%% | %.2f | %.2f |\n",
			r.Policy, loads[i%len(loads)], r.P50, r.P95, r.P99, r.AnsweredP95, r.Goodput,
			100*float64(r.Answered)/float64(max(1, r.Offered)), 100*r.HitShare, r.Amplification(), slices.Min(r.Shares[1:]))
	}
}

func draw(directory string, results []experimenter.Result) error {
	plots := []struct {
		file, title, unit string
		value             func(r experimenter.Result) float64
	}{
		{"routing-goodput.svg", "Whole answers in time", "answers/s", func(r experimenter.Result) float64 { return r.Goodput }},
		{"routing-first-token.svg", "Time to first token, 99th percentile of answered and refused", "ms, log", func(r experimenter.Result) float64 { return r.P99 }},
		{"routing-hits.svg", "Prefix hits", "share", func(r experimenter.Result) float64 { return r.HitShare }},
	}
	for i, d := range plots {
		p := plot.New()
		p.Title.Text = d.title
		p.X.Label.Text = "load, multiples of capacity under least in flight"
		p.Y.Label.Text = d.unit
		p.Legend.Top, p.Legend.Left = true, true
		p.Legend.TextStyle.Font.Size = 8
		if i == 1 {
			p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		} else {
			p.Y.Min = 0
		}
		if err := addLines(p, results, d.value); err != nil {
			return err
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(directory, d.file)); err != nil {
			return err
		}
	}
	return nil
}

// addLines adds one line for each policy.
func addLines(p *plot.Plot, results []experimenter.Result, value func(experimenter.Result) float64) error {
	for i, policy := range experimenter.Policies() {
		var points plotter.XYs
		for j, load := range loads {
			points = append(points, plotter.XY{X: load, Y: value(results[i*len(loads)+j])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(string(policy), line)
	}
	return nil
}
