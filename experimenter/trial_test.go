package experimenter

import (
	"fmt"
	"testing"
)

func TestTrial(t *testing.T) {
	c := 52.6
	for _, gone := range []float64{0,50000} {
		p := Defaults()
		p.Length = 300_000
		p.ZoneGoneAt = gone
		var cases []Case
		for _, x := range []float64{0.5, 0.9, 1, 1.2, 2} {
			for seed := range uint64(3) {
				p.Rate = c * x
				p.Seed = seed + 1
				cases = append(cases, Case{p, Routed})
			}
		}
		rs := RunAll(cases, 6)
		fmt.Printf("gone %.0f", gone)
		for i, r := range rs {
			if i%3 == 0 {
				fmt.Printf("\n    %.1fx hits %.2f good %.1f %v p95 %4.0f p99:", cases[i].Parameters.Rate/c, r.HitShare, r.Goodput, r.Ends, r.P95)
			}
			fmt.Printf(" %4.0f", r.P99)
		}
		fmt.Println()
	}
}
