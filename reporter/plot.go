package reporter

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cowsliphinge/loader"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14 // points
)

// WritePlots writes SVG files into a directory: first-token, between-tokens,
// refusals and spend.
func WritePlots(directory string, reports []loader.Report) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	files := []struct {
		name string
		draw func() (*plot.Plot, error)
	}{
		{"first-token.svg", func() (*plot.Plot, error) {
			return curves("Time to first token", reports, func(r loader.Report) loader.Latency { return r.FirstToken })
		}},
		{"between-tokens.svg", func() (*plot.Plot, error) {
			return curves("Time between tokens", reports, func(r loader.Report) loader.Latency { return r.BetweenTokens })
		}},
		{"refusals.svg", func() (*plot.Plot, error) { return refusals(reports) }},
		{"spend.svg", func() (*plot.Plot, error) { return spend(reports) }},
	}
	for _, f := range files {
		p, err := f.draw()
		if err != nil {
			return trace.Wrap(err)
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(directory, f.name)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// curves draws the share of requests, in percent, within a latency.
func curves(title string, reports []loader.Report, latency func(r loader.Report) loader.Latency) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "ms"
	p.Y.Label.Text = "percent of requests"
	for i, r := range reports {
		var points plotter.XYs
		for _, point := range latency(r).Curve {
			points = append(points, plotter.XY{X: point.Ms, Y: point.Percent})
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	return p, nil
}

func refusals(reports []loader.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Refusals and broken answers by code"
	p.Y.Label.Text = "requests"
	codes := names(reports, func(r loader.Report) []loader.Count { return r.Codes })
	for i, r := range reports {
		var values plotter.Values
		for _, code := range codes {
			values = append(values, float64(count(r.Codes, code)))
		}
		if err := bars(p, r.Name, values, i, len(reports)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if len(codes) > 0 {
		p.NominalX(codes...)
	}
	return p, nil
}

// spend draws budget and served tokens of each client account.
func spend(reports []loader.Report) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Tokens served and granted"
	p.Y.Label.Text = "tokens"
	var accounts []string
	for i, r := range reports {
		var served, granted plotter.Values
		for j, s := range r.Spend {
			if j == len(accounts) {
				accounts = append(accounts, s.ClientAccount)
			}
			served = append(served, float64(s.Served))
			granted = append(granted, float64(s.Granted))
		}
		if err := bars(p, r.Name+" served", served, 2*i, 2*len(reports)); err != nil {
			return nil, trace.Wrap(err)
		}
		if err := bars(p, r.Name+" granted", granted, 2*i+1, 2*len(reports)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if len(accounts) > 0 {
		p.NominalX(accounts...)
	}
	return p, nil
}

// bars adds the i-th of n groups of bars.
func bars(p *plot.Plot, name string, values plotter.Values, i, n int) error {
	if len(values) == 0 {
		return nil
	}
	chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return trace.Wrap(err)
	}
	chart.Color = plotutil.Color(i)
	chart.Offset = vg.Points(barWidth) * vg.Length(2*i-n+1) / 2
	p.Add(chart)
	p.Legend.Add(name, chart)
	return nil
}
