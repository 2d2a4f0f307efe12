package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/objects"
)

const (
	// restorePause is the mean time between two restores of the store, maxCopyAge the age of the
	// oldest copy, and maxAway how long the store is away at a restore, in milliseconds.
	restorePause = 2500
	maxCopyAge   = 6000
	maxAway      = 800
)

// restoring lets one restore at a time begin and end.
var restoring sync.Mutex

// restoreStore takes a copy of the store and brings it back some seconds later. The store ends its
// connections and is away for a moment. What the operator and the backend servers wrote is written
// again before it is back.
func restoreStore(w *world, rng *rand.Rand) string {
	restoring.Lock()
	defer restoring.Unlock()
	copied := w.store.Copy()
	age := clocker.Millis(rng.IntN(maxCopyAge))
	w.cfg.Clock.SleepUncancellable(age)
	defer w.disturb(w.routers...)()
	w.store.Break(objects.Faults{Status: http.StatusServiceUnavailable})
	for _, r := range w.routers {
		r.store.reset()
	}
	away := clocker.Millis(rng.IntN(maxAway))
	w.cfg.Clock.SleepUncancellable(away)
	w.mu.Lock()
	w.store.Restore(copied)
	w.writeConfiguration()
	for _, id := range w.store.Names("servers") {
		if w.entries[id] == nil {
			w.store.Delete("servers", id)
		}
	}
	for id, entry := range w.entries {
		if err := w.store.Put("servers", id, entry); err != nil {
			panic(err) // the entry was encoded before
		}
	}
	for _, r := range w.routers {
		r.store.reset()
	}
	w.store.Break(objects.Faults{})
	w.mu.Unlock()
	return fmt.Sprintf("store back from a copy %d ms old, away for %d ms", age, away)
}
