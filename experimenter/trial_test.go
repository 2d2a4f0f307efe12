package experimenter

import (
	"fmt"
	"testing"
)

func TestTrial(t *testing.T) {
	p := Defaults()
	for _, policy := range Policies() {
		for _, rate := range []float64{15, 25, 30, 35, 40, 45, 60, 80} {
			p.Rate = rate
			r := Run(p, policy)
			fmt.Printf("%-16s rate %3.0f goodput %5.1f p50 %5.0f p95 %5.0f p99 %5.0f hits %.2f ends %v\n", policy, rate, r.Goodput, r.P50, r.P95, r.P99, r.HitShare, r.Ends)
		}
	}
}
