package runner

import (
	"fmt"
	"log/slog"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/quarantiner"
)

var (
	serverCrashes    = metrics.NewCounter("cowsliphinge_server_crashes_total")
	heldQuarantines  = metrics.NewCounter(`cowsliphinge_quarantine_changes_total{change="held"}`)
	endedQuarantines = metrics.NewCounter(`cowsliphinge_quarantine_changes_total{change="ended"}`)
)

// quarantine is a concurrency-safe wrapper around a Quarantiner. It exchanges the evidence
// with other hosts in heartbeats.
type quarantine struct {
	clock *clocker.Clock
	log   *slog.Logger

	mu sync.Mutex
	// announce makes the next heartbeats come early; nil until the heartbeater runs.
	announce    func()
	quarantiner *quarantiner.Quarantiner
	// logged are the quarantines in force when they were last logged.
	logged []quarantiner.Quarantine
	// saved is the hash of the evidence that this host read from the store or wrote to it.
	saved uint64
	// loaded is true once the store was read, or loadDeadline has passed.
	loaded       bool
	loadDeadline clocker.Millis
}

func newQuarantine(cfg Config) *quarantine {
	return &quarantine{clock: cfg.Clock, log: cfg.Log, quarantiner: quarantiner.New(), loadDeadline: cfg.Clock.Now() + quarantineLoadTimeout}
}

func (p *quarantine) setAnnounce(announce func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.announce = announce
}

// Refused implements relayer.Quarantine.
func (p *quarantine) Refused(r quarantiner.Request) clocker.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.loaded = p.loaded || now >= p.loadDeadline
	if !p.loaded {
		return now + quarantineRetryInterval
	}
	held, refused := p.quarantiner.Refused(r, now)
	if !refused {
		return 0
	}
	return held.Until
}

// Answered implements relayer.Quarantine.
func (p *quarantine) Answered(s chooser.Server, r quarantiner.Request, framed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if framed {
		p.quarantiner.Answered(r, now)
	} else {
		p.quarantiner.AnsweredUnframed(quarantiner.ServerHash(s.ID, s.StartedAt), r, now)
	}
	p.logChanges(now)
}

// Crashed implements relayer.Quarantine.
func (p *quarantine) Crashed(s chooser.Server, r quarantiner.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if !p.quarantiner.Crashed(quarantiner.ServerHash(s.ID, s.StartedAt), r, now) {
		return
	}
	serverCrashes.Inc()
	p.log.Info("backend server crashed before it answered a request", "server", s.ID, "fingerprint", hexOf([]uint64{r.ID}), "suspect_parts", hexOf(r.Parts), "begun", r.Begun, "crashes_under_them", p.quarantiner.Crashes(r))
	p.logChanges(now)
	p.announceNews()
}

// announceNews makes the next heartbeats come early. The caller holds mu.
func (p *quarantine) announceNews() {
	if p.announce != nil {
		p.announce()
	}
}

// addToBeat adds the evidence to a heartbeat of this host.
func (p *quarantine) addToBeat(beat *messenger.Beat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	crashes, cleared := p.quarantiner.Report(now)
	beat.Crashes = encodeCrashes(crashes, now)
	for _, c := range cleared {
		beat.Cleared = append(beat.Cleared, &messenger.ClearedSuspect{Hash: c.Hash, AgeMs: int64(now - c.At)})
	}
	p.logChanges(now)
}

// applyBeat applies the evidence in a heartbeat of another host.
func (p *quarantine) applyBeat(beat *messenger.Beat) {
	if len(beat.Crashes) == 0 && len(beat.Cleared) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var cleared []quarantiner.Cleared
	for _, c := range beat.Cleared {
		cleared = append(cleared, quarantiner.Cleared{Hash: c.Hash, At: now - clocker.Millis(max(0, c.AgeMs))})
	}
	if p.quarantiner.Merge(decodeCrashes(beat.Crashes, now), cleared, now) {
		p.announceNews()
	}
	p.logChanges(now)
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
func (p *quarantine) logChanges(now clocker.Millis) {
	current := p.quarantiner.Quarantines(now)
	if slices.EqualFunc(current, p.logged, sameQuarantine) {
		return
	}
	for _, held := range current {
		if !slices.ContainsFunc(p.logged, func(other quarantiner.Quarantine) bool { return sameQuarantine(held, other) }) {
			heldQuarantines.Inc()
			p.log.Warn("requests that crash backend servers are refused", "fingerprint", hexOf([]uint64{held.Request}), "parts", hexOf(held.Parts), "accounts", hexOf(held.Accounts),
				"all_accounts", held.Request == 0 && len(held.Accounts) == 0, "crashes", held.Crashes, "for_ms", held.Until-now)
		}
	}
	for _, old := range p.logged {
		if !slices.ContainsFunc(current, func(other quarantiner.Quarantine) bool { return sameQuarantine(old, other) }) {
			endedQuarantines.Inc()
			p.log.Info("requests that crashed backend servers are no longer refused", "fingerprint", hexOf([]uint64{old.Request}), "parts", hexOf(old.Parts), "accounts", hexOf(old.Accounts), "expired", now >= old.Until)
		}
	}
	p.logged = slices.Clone(current)
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
