// Package withholder withholds requests that crash backend servers. It shares the evidence of package
// quarantiner with other hosts in heartbeats, keeps it in the store for hosts that start later, and logs
// each crash and each change of what is refused.
package withholder

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/quarantiner"
	"cowsliphinge/storer"
)

var (
	serverCrashes    = metrics.NewCounter("cowsliphinge_server_crashes_total")
	heldQuarantines  = metrics.NewCounter(`cowsliphinge_quarantine_changes_total{change="held"}`)
	endedQuarantines = metrics.NewCounter(`cowsliphinge_quarantine_changes_total{change="ended"}`)
)

// Store reads and writes the record of crashes. Its errors are those of package storer.
type Store interface {
	Get(ctx context.Context, key string) (storer.Object, error)
	Create(ctx context.Context, key string, value []byte) (storer.Object, error)
	Update(ctx context.Context, key string, version int64, value []byte) (storer.Object, error)
}

// Config configures a Withholder.
type Config struct {
	Clock *clocker.Clock
	Log   *slog.Logger
	// Host is the name of this host.
	Host  string
	Store Store
	// StoreEra returns the latest era that the store named; nil for a store without eras.
	StoreEra func() int64
	// Peers returns the other hosts.
	Peers func() []heartbeater.Peer
	// Announce makes the next heartbeats come early.
	Announce func()
}

// Withholder tells which requests must not be sent. It is safe for concurrent use.
type Withholder struct {
	cfg Config

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// logged are the quarantines in force when they were last logged.
	logged []quarantiner.Quarantine
	// saved is the hash of the evidence that this host read from the store or wrote to it.
	saved uint64
	// loaded is true once the store was read, or loadDeadline has passed.
	loaded       bool
	loadDeadline clocker.Millis
}

// New returns a Withholder without evidence. Requests are withheld until Keep has read the record in the
// store, at most for a short time.
func New(cfg Config) *Withholder {
	return &Withholder{cfg: cfg, quarantiner: quarantiner.New(), loadDeadline: cfg.Clock.Now() + loadTimeout}
}

// Refused returns until when a request must not be sent, 0 if it may be.
func (w *Withholder) Refused(r quarantiner.Request) clocker.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	w.loaded = w.loaded || now >= w.loadDeadline
	if !w.loaded {
		return now + retryInterval
	}
	held, refused := w.quarantiner.Refused(r, now)
	if !refused {
		return 0
	}
	return held.Until
}

// Answered records a complete answer. One that is not framed ended with its connection.
func (w *Withholder) Answered(s quarantiner.Server, r quarantiner.Request, framed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	if framed {
		w.quarantiner.Answered(r, now)
	} else {
		w.quarantiner.AnsweredUnframed(s.Hash(), r, now)
	}
	w.logChanges(now)
}

// Ended records that another incarnation has replaced that of a server.
func (w *Withholder) Ended(s quarantiner.Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quarantiner.Ended(s.Hash())
}

// Crashed records that a server crashed before it had begun to answer a request.
func (w *Withholder) Crashed(s quarantiner.Server, r quarantiner.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	if !w.quarantiner.Crashed(s.Hash(), r, now) {
		return
	}
	serverCrashes.Inc()
	w.cfg.Log.Info("backend server crashed before it answered a request", "server", s.ID, "fingerprint", hexOf([]uint64{r.ID}), "suspect_parts", hexOf(r.Parts), "begun", r.Begun, "crashes_under_them", w.quarantiner.Crashes(r))
	w.logChanges(now)
	w.announceNews()
}

// announceNews makes the next heartbeats come early. The caller holds mu.
func (w *Withholder) announceNews() {
	if w.cfg.Announce != nil {
		w.cfg.Announce()
	}
}

// AddToBeat adds the evidence to a heartbeat of this host.
func (w *Withholder) AddToBeat(beat *messenger.Beat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	crashes, cleared := w.quarantiner.Report(now)
	beat.Crashes = encodeCrashes(crashes, now)
	for _, c := range cleared {
		beat.Cleared = append(beat.Cleared, &messenger.ClearedSuspect{Hash: c.Hash, AgeMs: int64(now - c.At)})
	}
	w.logChanges(now)
}

// ApplyBeat applies the evidence in a heartbeat of another host.
func (w *Withholder) ApplyBeat(beat *messenger.Beat) {
	if len(beat.Crashes) == 0 && len(beat.Cleared) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.cfg.Clock.Now()
	var cleared []quarantiner.Cleared
	for _, c := range beat.Cleared {
		cleared = append(cleared, quarantiner.Cleared{Hash: c.Hash, At: now - clocker.Millis(max(0, c.AgeMs))})
	}
	if w.quarantiner.Merge(decodeCrashes(beat.Crashes, now), cleared, now) {
		w.announceNews()
	}
	w.logChanges(now)
}

func encodeCrashes(crashes []quarantiner.Crash, now clocker.Millis) []*messenger.ServerCrash {
	var messages []*messenger.ServerCrash
	for _, c := range crashes {
		message := &messenger.ServerCrash{Server: c.Server, AgeMs: int64(now - c.At)}
		for _, r := range c.Requests {
			message.Requests = append(message.Requests, &messenger.SuspectRequest{Account: r.Account, Request: r.ID, Parts: slices.Clone(r.Parts), Begun: r.Begun})
		}
		messages = append(messages, message)
	}
	return messages
}

func decodeCrashes(messages []*messenger.ServerCrash, now clocker.Millis) []quarantiner.Crash {
	var crashes []quarantiner.Crash
	for _, message := range messages {
		c := quarantiner.Crash{Server: message.Server, At: now - clocker.Millis(max(0, message.AgeMs))}
		for _, r := range message.Requests {
			c.Requests = append(c.Requests, quarantiner.Request{Account: r.Account, ID: r.Request, Parts: slices.Clone(r.Parts), Begun: r.Begun})
		}
		crashes = append(crashes, c)
	}
	return crashes
}

// logChanges logs the quarantines that began or ended since the last call. The caller holds mu.
func (w *Withholder) logChanges(now clocker.Millis) {
	current := w.quarantiner.Quarantines(now)
	if slices.EqualFunc(current, w.logged, sameQuarantine) {
		return
	}
	for _, held := range current {
		if !slices.ContainsFunc(w.logged, func(other quarantiner.Quarantine) bool { return sameQuarantine(held, other) }) {
			heldQuarantines.Inc()
			w.cfg.Log.Warn("requests that crash backend servers are refused", "fingerprint", hexOf([]uint64{held.Request}), "parts", hexOf(held.Parts), "accounts", hexOf(held.Accounts),
				"all_accounts", held.Request == 0 && len(held.Accounts) == 0, "crashes", held.Crashes, "for_ms", held.Until-now)
		}
	}
	for _, old := range w.logged {
		if !slices.ContainsFunc(current, func(other quarantiner.Quarantine) bool { return sameQuarantine(old, other) }) {
			endedQuarantines.Inc()
			w.cfg.Log.Info("requests that crashed backend servers are no longer refused", "fingerprint", hexOf([]uint64{old.Request}), "parts", hexOf(old.Parts), "accounts", hexOf(old.Accounts), "expired", now >= old.Until)
		}
	}
	w.logged = slices.Clone(current)
}

// sameQuarantine reports whether two quarantines refuse the same requests.
func sameQuarantine(a, b quarantiner.Quarantine) bool {
	return a.Request == b.Request && slices.Equal(a.Parts, b.Parts) && slices.Equal(a.Accounts, b.Accounts)
}

// hexOf formats hashes for the log.
func hexOf(hashes []uint64) []string {
	var out []string
	for _, h := range hashes {
		out = append(out, fmt.Sprintf("%016x", h))
	}
	return out
}
