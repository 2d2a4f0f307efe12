package soaker

import (
	"fmt"
	"math/rand/v2"

	"cowsliphinge/clocker"
)

const (
	// cutPause is the mean time between two cuts of routers, in milliseconds.
	cutPause = 2500
	// minCut and maxCut bound how long a cut lasts, in milliseconds: less and more than a router without the store
	// keeps the tokens back that it guards.
	minCut = 500
	maxCut = 8000
)

// cutPeers cuts up to half of the routers off from the others, while they may lack the store. They live and serve, and
// reach the others themselves, unless these are cut off, too.
func cutPeers(w *world, rng *rand.Rand) string {
	cut := rng.Perm(len(w.routers))[:1+rng.IntN(max(1, len(w.routers)/2))]
	how := []string{"refuse", "refuse", "reset", "silent"}[rng.IntN(4)]
	withoutStore := rng.IntN(3) > 0
	length := clocker.Millis(minCut + rng.IntN(maxCut-minCut))
	var routers []*router
	for _, number := range cut {
		routers = append(routers, w.routers[number])
	}
	defer w.disturb(routers...)()
	for _, r := range routers {
		if withoutStore {
			r.store.set(proxyState{dropUp: true, dropDown: true})
		}
		switch how {
		case "refuse":
			r.peers.refuse()
		case "silent":
			r.peers.set(proxyState{dropUp: true, dropDown: true})
		default:
			r.peers.reset()
		}
	}
	w.cfg.Clock.SleepUncancellable(length)
	failed := ""
	for _, r := range routers {
		if how == "refuse" {
			if err := r.peers.accepts(); err != nil {
				failed += ", " + err.Error()
			}
		}
		r.peers.set(proxyState{})
		r.peers.reset() // what was swallowed is lost with its connection
		if withoutStore {
			r.store.set(proxyState{})
			r.store.reset()
		}
	}
	return fmt.Sprintf("cut routers %v off from the others, %s, without the store %v, for %d ms%s", cut, how, withoutStore, length, failed)
}
