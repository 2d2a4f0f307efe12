package experimenter

import (
	"fmt"
	"testing"
)

func TestTrial(t *testing.T) {
	p := Defaults()
	c := 52.6
	p.Length = 200_000
	var cases []Case
	for _, policy := range []Policy{Routed} {
		for _, x := range []float64{0.5, 0.9, 1.0, 1.2, 1.5, 2} {
			p.Rate = c * x
			cases = append(cases, Case{p, policy})
		}
	}
	for i, r := range RunAll(cases, 5) {
		fmt.Printf("%-16s rate %.2fx goodput %5.1f p50 %5.0f p95 %5.0f p99 %5.0f hits %.2f ends %v\n", r.Policy, cases[i].Parameters.Rate/c, r.Goodput, r.P50, r.P95, r.P99, r.HitShare, r.Ends)
	}
}
