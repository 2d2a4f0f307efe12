package experimenter

import "sync"

// Capacity measures how many answers a second the engines give under a policy
// while they always have work.
func Capacity(p Parameters, policy Policy) float64 {
	p.Rate = 120
	p.Deadline = 40_000
	p.Length = 100_000
	result := Run(p, policy)
	return result.Goodput
}

// Case is one run to make.
type Case struct {
	Parameters Parameters
	Policy     Policy
}

// RunAll makes runs side by side, at most workers at once, and returns their
// results in order.
func RunAll(cases []Case, workers int) []Result {
	results := make([]Result, len(cases))
	next := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for i := range next {
				results[i] = Run(cases[i].Parameters, cases[i].Policy)
			}
		})
	}
	for i := range cases {
		next <- i
	}
	close(next)
	group.Wait()
	return results
}
