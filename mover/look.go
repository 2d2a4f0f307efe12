package mover

import (
	"context"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/orderer"
)

const (
	// budgetPrefix starts the keys of budget shards in the Object API.
	budgetPrefix = "budget/"
	// listLimit bounds one answer of budget shards.
	listLimit = 16
)

// look gathers what the steps that are not done depend on.
func (m *Mover) look(ctx context.Context, move *messenger.Move, steps []*messenger.MoveStep, now clocker.Millis) Seen {
	index := m.cfg.Spreader.Index()
	seen := Seen{Loaded: map[string]bool{}, Empty: map[string]bool{}, Warmed: map[string]Warmth{}}
	m.lookAtHosts(move, &seen)
	returning := false
	for _, s := range steps {
		b := index.BackendServer(s.Target)
		switch {
		case s.State == Done || !begun(move, steps, s, now):
		case s.Kind == Load && b != nil:
			seen.Loaded[s.Target] = m.loaded(ctx, index, b)
		case s.Kind == Warm && b != nil:
			seen.Warmed[s.Target] = m.warm(ctx, index, move, b)
		case s.Kind == Drain && b != nil:
			seen.Empty[s.Target] = m.empty(ctx, b)
		case s.Kind == Return:
			returning = true
		}
	}
	if returning {
		seen.OpenLimits = m.openLimits(ctx, move)
	}
	return seen
}

func (m *Mover) loaded(ctx context.Context, index *indexer.Index, b *messenger.BackendServer) bool {
	state, err := m.cfg.Servers.State(ctx, b.Address)
	return err == nil && orderer.Fulfilled(orderer.DesiredOrder(index.Configuration.GetDeclarations(), b), state)
}

// empty reports whether a backend server tells of no request.
func (m *Mover) empty(ctx context.Context, b *messenger.BackendServer) bool {
	inFlight, err := m.cfg.Servers.InFlight(ctx, b.Address)
	return err == nil && inFlight == 0
}

// warm copies cached prefixes from a leaving engine with the same models.
func (m *Mover) warm(ctx context.Context, index *indexer.Index, move *messenger.Move, b *messenger.BackendServer) Warmth {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := move.Name + "/" + b.Name
	w := m.warmed[key]
	if w.Done || w.Attempts >= warmAttempts {
		return w
	}
	w.Attempts++
	source := warmSource(index, move, b)
	switch {
	case source == nil:
		w.Done, w.Note = true, "no leaving engine has its models"
	default:
		n, err := m.cfg.Servers.Warm(ctx, source.Address, b.Address)
		if err == nil {
			w.Done, w.Note = true, fmt.Sprintf("%d prefixes from %s", n, source.Name)
		} else {
			w.Note = "left cold: " + err.Error()
		}
	}
	m.warmed[key] = w
	return w
}

// warmSource returns a leaving engine of the same service and first model, a
// different one for each arrival where there are several.
func warmSource(index *indexer.Index, move *messenger.Move, b *messenger.BackendServer) *messenger.BackendServer {
	var sources []*messenger.BackendServer
	for _, name := range move.LeavingBackendServers {
		s := index.BackendServer(name)
		if s != nil && s.Service == b.Service && len(s.Models) > 0 && s.Models[0] == b.Models[0] {
			sources = append(sources, s)
		}
	}
	if len(sources) == 0 {
		return nil
	}
	for i, name := range move.ArrivingBackendServers {
		if name == b.Name {
			return sources[i%len(sources)]
		}
	}
	return sources[0]
}

// lookAtHosts takes from the heartbeats what live hosts have in flight.
func (m *Mover) lookAtHosts(move *messenger.Move, seen *Seen) {
	seen.Hosts = map[string]HostSeen{}
	self := m.cfg.Self()
	seen.LeavingInFlight = self.LeavingInFlight
	if isHost(move, self.Host) {
		seen.Hosts[self.Host] = HostSeen{Draining: self.Draining, InFlight: self.InFlight}
	}
	for _, p := range m.cfg.Peers() {
		if p.Host == self.Host {
			continue
		}
		if isHost(move, p.Host) && p.LastHeard > 0 {
			seen.Hosts[p.Host] = HostSeen{Silent: p.Suspect, Draining: p.Draining, InFlight: p.InFlight}
		}
		if !p.Suspect {
			seen.LeavingInFlight += p.LeavingInFlight
		}
	}
}

// requestsCut returns how many requests leaving hosts told that they cut.
func (m *Mover) requestsCut(move *messenger.Move) int64 {
	var cut int64
	for _, p := range m.cfg.Peers() {
		if isHost(move, p.Host) {
			cut += p.RequestsCut
		}
	}
	return cut
}

// openLimits reads from the budget shards what incarnations of the leaving
// hosts have not returned; nil if a shard cannot be read.
func (m *Mover) openLimits(ctx context.Context, move *messenger.Move) map[string]int64 {
	open := map[string]int64{}
	for _, h := range move.LeavingHosts {
		open[h] = 0
	}
	after := ""
	for {
		objects, err := m.cfg.Store.List(ctx, budgetPrefix, after, listLimit)
		if err != nil {
			return nil
		}
		for _, o := range objects {
			var shard messenger.BudgetShard
			if err := proto.Unmarshal(o.Value, &shard); err != nil {
				return nil
			}
			addOpen(open, &shard)
			after = o.Key
		}
		if len(objects) < listLimit {
			return open
		}
	}
}

func addOpen(open map[string]int64, shard *messenger.BudgetShard) {
	for _, b := range shard.Budgets {
		for _, h := range b.Holders {
			if _, leaving := open[hostOf(h.Incarnation)]; leaving && !h.Closed {
				open[hostOf(h.Incarnation)] += h.Limit
			}
		}
	}
}

// hostOf returns the host of an incarnation, which is host-start-random.
func hostOf(incarnation string) string {
	for range 2 {
		i := strings.LastIndexByte(incarnation, '-')
		if i < 0 {
			return incarnation
		}
		incarnation = incarnation[:i]
	}
	return incarnation
}
