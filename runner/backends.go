package runner

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/carrier"
	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/logger"
	"cowsliphinge/quarantiner"
	"cowsliphinge/storer"
	"cowsliphinge/versioner"
)

// backendPool is a concurrency-safe wrapper around a Chooser. It applies entries of
// backend servers and chooses servers for the relayer.
type backendPool struct {
	clock *clocker.Clock
	log   *slog.Logger
	// origins learns which software versions are known.
	origins *streamOrigins
	kind    string
	decode  func(storer.Object) (chooser.Server, error)
	// ended is called with each incarnation that another one has replaced; it may be nil.
	ended func(quarantiner.Server)
	// unusable limits the log lines about entries that can't be decoded.
	unusable logger.RevisionFilter

	mu      sync.Mutex
	chooser *chooser.Chooser
	listed  bool
	// versions are those of the entries that were read last, by the ID of the server.
	versions map[string]int64
	// fingerprint identifies the set of servers and their states, 0 before the first list.
	fingerprint uint64
	// sheds logs the services whose servers are full.
	sheds shedLog
}

// newBackendPool returns a pool without servers. hosts returns the number of hosts that share
// the limit of a server, and position the position of this one among them.
func newBackendPool(cfg Config, origins *streamOrigins, cacheTokens func(service string) int, hosts func() int, position func(server string) int) *backendPool {
	return &backendPool{
		clock:    cfg.Clock,
		log:      cfg.Log,
		origins:  origins,
		kind:     cfg.Platform.ServerKind,
		decode:   cfg.Platform.DecodeServer,
		versions: map[string]int64{},
		chooser:  chooser.New(chooser.Config{AvailabilityZone: cfg.Settings.AvailabilityZone, CacheTokens: cacheTokens, Hosts: hosts, Position: position, Sheds: cfg.Settings.RefusesWhenFull, Admits: origins.admits, AdmitsUnlisted: origins.admitsUnlisted, Seed: rand.Uint64()}),
	}
}

// Replace implements watcher.Sink.
func (b *backendPool) Replace(objects []storer.Object, grace clocker.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	present := map[string]bool{}
	b.versions = map[string]int64{}
	for _, o := range objects {
		present[b.serverID(o)] = true
		b.versions[b.serverID(o)] = o.Version
		b.set(o)
	}
	for _, id := range b.chooser.IDs() {
		if !present[id] {
			b.remove(id, grace)
		}
	}
	b.listed = true
	b.updateFingerprint()
}

// currentFingerprint returns a value that two hosts share if they know the same servers in
// the same state; 0 before the first list.
func (b *backendPool) currentFingerprint() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fingerprint
}

// updateFingerprint computes the fingerprint. The caller holds mu.
func (b *backendPool) updateFingerprint() {
	sum := uint64(1)
	for _, id := range b.chooser.IDs() {
		s, _ := b.chooser.Server(id)
		sum ^= xxhash.Sum64String(fmt.Sprint(id, s.Draining, s.StartedAt))
	}
	b.fingerprint = sum
}

// Apply implements watcher.Sink.
func (b *backendPool) Apply(changes []storer.Change, grace clocker.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes {
		b.apply(c, grace)
	}
	b.updateFingerprint()
}

// apply applies a change, unless a list or an earlier change told of a later entry of the server: a list of
// several pages may be newer than the revision from which the watch goes on. A list counts whatever it
// holds, since a store that came back from a copy may give out revisions again.
func (b *backendPool) apply(c storer.Change, grace clocker.Millis) {
	id := b.serverID(c.Object)
	if versioner.Revision(c.Object.Version) > 0 && c.Object.Version < b.versions[id] {
		return
	}
	if c.Deleted {
		delete(b.versions, id)
		b.remove(id, grace)
		return
	}
	b.versions[id] = c.Object.Version
	b.set(c.Object)
}

func (b *backendPool) serverID(o storer.Object) string {
	return strings.TrimPrefix(o.Key, b.kind+"/")
}

// set adds or updates the server of an entry. An entry that cannot be decoded removes
// its server.
func (b *backendPool) set(o storer.Object) {
	s, err := b.decode(o)
	if err != nil {
		if b.unusable.First(o.Key, o.Version) {
			b.log.Warn("entry of a backend server is not usable", "server", b.serverID(o), "cause", err.Error(), versioner.Attr(o.Version))
		}
		b.chooser.Remove(b.serverID(o), b.clock.Now())
		return
	}
	old, known := b.chooser.Server(s.ID)
	if !known || old.Draining != s.Draining || old.StartedAt != s.StartedAt || old.Software != s.Software {
		// Object.Version is the revision of the store.
		b.log.Info("backend server", "server", s.ID, "service", s.Service, "address", s.Address, "zone", s.AvailabilityZone, "software", s.Software, "draining", s.Draining, versioner.Attr(o.Version))
	}
	before, _ := b.chooser.Running(s.ID)
	b.chooser.Set(s)
	b.origins.seen(s)
	if known {
		b.reportEnd(before)
	}
}

// reportEnd reports that an incarnation has ended, unless it is the one known now.
func (b *backendPool) reportEnd(before chooser.Server) {
	now, _ := b.chooser.Running(before.ID)
	if b.ended != nil && !sameIncarnation(before, now) {
		b.ended(quarantiner.Server{ID: before.ID, StartedAt: before.StartedAt})
	}
}

// sameIncarnation reports whether two entries of a server are of the same incarnation.
func sameIncarnation(a, b chooser.Server) bool {
	return a.StartedAt == b.StartedAt && a.Address == b.Address
}

// remove removes a server. With a grace period, used right after an outage, the server
// is only marked missing, since its entry may come back.
func (b *backendPool) remove(id string, grace clocker.Millis) {
	if !b.chooser.Knows(id) {
		return
	}
	if grace > 0 {
		b.chooser.MarkMissing(id, b.clock.Now()+grace)
		return
	}
	b.log.Info("backend server is gone", "server", id)
	b.chooser.Remove(id, b.clock.Now())
}

// expire removes servers whose entries did not come back after an outage, and records that the
// versions of the others are in use.
func (b *backendPool) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.publishSpreads()
	b.sheds.expire(b.log, b.clock.Now())
	expired := b.chooser.Expire(b.clock.Now())
	for _, id := range b.chooser.IDs() {
		if s, ok := b.chooser.Server(id); ok {
			b.origins.seen(s)
		}
	}
	for _, id := range expired {
		b.log.Info("backend server did not come back after the outage", "server", id)
	}
	if len(expired) > 0 {
		b.updateFingerprint()
	}
}

// known reports whether a server is known.
func (b *backendPool) known(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chooser.Knows(id)
}

// targets returns the servers that are not leaving.
func (b *backendPool) targets() []carrier.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var targets []carrier.Target
	for _, id := range b.chooser.IDs() {
		if s, ok := b.chooser.Server(id); ok && !b.chooser.Leaving(id, b.clock.Now()) {
			targets = append(targets, carrier.Target{ID: id, Address: s.Address})
		}
	}
	return targets
}

// isServerAddress reports whether a known server has the address.
func (b *backendPool) isServerAddress(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.chooser.IDs(), func(id string) bool {
		s, _ := b.chooser.Server(id)
		return s.Address == address
	})
}

// forgetFailures ends all ejections.
func (b *backendPool) forgetFailures() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chooser.ForgetFailures()
}

// listedOnce reports whether the servers have been listed at least once.
func (b *backendPool) listedOnce() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed
}

// Choose implements relayer.Servers.
func (b *backendPool) Choose(r chooser.Request) chooser.Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice := b.chooser.Choose(r, b.clock.Now())
	b.sheds.record(b.log, r.Service, choice.Shed, b.clock.Now())
	if choice.Found {
		b.chooser.Start(choice.Server.ID, r)
	}
	return choice
}

// Finish implements relayer.Servers.
func (b *backendPool) Finish(id string, r chooser.Request, o chooser.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chooser.Release(id, r)
	wasEjected := b.chooser.Ejected(id, b.clock.Now())
	if b.chooser.Finish(id, o, b.clock.Now()) && !wasEjected {
		b.log.Info("backend server is left out", "server", id, "outcome", int(o))
	}
}

// MarkDown implements relayer.Servers.
func (b *backendPool) MarkDown(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chooser.MarkDown(id, b.clock.Now())
}

// restarted records that a server is another incarnation than its entry tells of. The connection on which it
// said so was opened to an incarnation that may not be the one known last by now.
func (b *backendPool) restarted(t carrier.Target, startedAt clocker.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, _ := b.chooser.Server(t.ID)
	before, known := b.chooser.Running(t.ID)
	if !known || before.StartedAt != t.StartedAt || before.Address != t.Address {
		return
	}
	if !b.chooser.MarkRestarted(t.ID, startedAt, b.clock.Now()) {
		return
	}
	b.reportEnd(before)
	if s.StartedAt == startedAt {
		b.log.Info("backend server is the incarnation that its entry tells of", "server", t.ID, "started_at", startedAt, "told_before", before.StartedAt)
		return
	}
	b.log.Info("backend server is another incarnation than its entry tells of", "server", t.ID, "entry_started_at", s.StartedAt, "started_at", startedAt, "software", s.Software)
}

// RecordActivity implements relayer.Servers.
func (b *backendPool) RecordActivity(id string, report chooser.StatusReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	server, _ := b.chooser.Server(id)
	_, wasBrittle := b.chooser.Brittle(server.Service)
	_, wasLimited := b.chooser.Limit(id)
	if b.chooser.RecordActivity(id, report, b.clock.Now()) {
		b.log.Info("backend server asks for no more requests", "server", id, "leaving", report.Leaving, "pause_ms", report.BackOff)
	}
	if _, limited := b.chooser.Limit(id); limited != wasLimited {
		b.logLimit(id, "server", id)
	}
	if _, brittle := b.chooser.Brittle(server.Service); brittle != wasBrittle {
		b.logBrittleness(server.Service, "server", id)
	}
}

// Leaving implements relayer.Servers.
func (b *backendPool) Leaving(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chooser.Leaving(id, b.clock.Now())
}

// Replaced implements relayer.Servers.
func (b *backendPool) Replaced(s chooser.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current, known := b.chooser.Running(s.ID)
	return known && !sameIncarnation(current, s)
}

// LeftAsPlanned implements relayer.Servers.
func (b *backendPool) LeftAsPlanned(s chooser.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chooser.LeftAsPlanned(s)
}

// LastActivity implements relayer.Servers.
func (b *backendPool) LastActivity(id string) clocker.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.chooser.LastActivity(id)
}
