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
	// budgetPrefix is the prefix of budget shards in the Object API.
	budgetPrefix = "budget/"
	// listLimit is the page size for listing budget shards.
	listLimit = 16
)

// observe collects the state that the unfinished steps depend on.
func (m *Mover) observe(ctx context.Context, move *messenger.Move, steps []*messenger.MoveStep, now clocker.Millis) Observation {
	index := m.cfg.Spreader.Index()
	observed := Observation{Loaded: map[string]bool{}, Idle: map[string]bool{}, WarmUps: map[string]WarmUp{}}
	m.observeHosts(move, &observed)
	returning := false
	for _, s := range steps {
		b := index.BackendServer(s.Target)
		switch {
		case s.State == Done || !stepDue(move, steps, s, now):
		case s.Kind == Load && b != nil:
			observed.Loaded[s.Target] = m.loaded(ctx, index, b)
		case s.Kind == Warm && b != nil:
			observed.WarmUps[s.Target] = m.warmUp(ctx, index, move, b)
		case s.Kind == Drain && b != nil:
			observed.Idle[s.Target] = m.idle(ctx, b)
		case s.Kind == Return:
			returning = true
		}
	}
	if returning {
		observed.UnreturnedLimits = m.unreturnedLimits(ctx, move)
	}
	return observed
}

func (m *Mover) loaded(ctx context.Context, index *indexer.Index, b *messenger.BackendServer) bool {
	state, err := m.cfg.Servers.State(ctx, b.Address)
	return err == nil && orderer.Fulfilled(orderer.DesiredOrder(index.Configuration.GetDeclarations(), b), state)
}

// idle reports whether a backend server reports no requests in flight.
func (m *Mover) idle(ctx context.Context, b *messenger.BackendServer) bool {
	inFlight, err := m.cfg.Servers.InFlight(ctx, b.Address)
	return err == nil && inFlight == 0
}

// warmUp copies cached prefixes from a leaving engine with the same models.
func (m *Mover) warmUp(ctx context.Context, index *indexer.Index, move *messenger.Move, b *messenger.BackendServer) WarmUp {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := move.Name + "/" + b.Name
	w := m.warmUps[key]
	if w.Done || w.Attempts >= maxWarmUpAttempts {
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
	m.warmUps[key] = w
	return w
}

// warmSource returns a leaving engine with the same service and first model.
// Arrivals are spread over the sources if there are several.
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

// observeHosts reads the requests in flight on live hosts from their heartbeats.
func (m *Mover) observeHosts(move *messenger.Move, observed *Observation) {
	observed.Hosts = map[string]HostObservation{}
	self := m.cfg.Self()
	observed.LeavingInFlight = self.LeavingInFlight
	if isLeavingHost(move, self.Host) {
		observed.Hosts[self.Host] = HostObservation{Draining: self.Draining, InFlight: self.InFlight}
	}
	for _, p := range m.cfg.Peers() {
		if p.Host == self.Host {
			continue
		}
		if isLeavingHost(move, p.Host) && p.LastHeard > 0 {
			observed.Hosts[p.Host] = HostObservation{Suspect: p.Suspect, Draining: p.Draining, InFlight: p.InFlight}
		}
		if !p.Suspect {
			observed.LeavingInFlight += p.LeavingInFlight
		}
	}
}

// requestsCut returns how many requests the leaving hosts report as cut.
func (m *Mover) requestsCut(move *messenger.Move) int64 {
	var cut int64
	for _, p := range m.cfg.Peers() {
		if isLeavingHost(move, p.Host) {
			cut += p.RequestsCut
		}
	}
	return cut
}

// unreturnedLimits reads from the budget shards the limits that incarnations of
// the leaving hosts have not returned. It returns nil if a shard cannot be read.
func (m *Mover) unreturnedLimits(ctx context.Context, move *messenger.Move) map[string]int64 {
	unreturned := map[string]int64{}
	for _, h := range move.LeavingHosts {
		unreturned[h] = 0
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
			addUnreturned(unreturned, &shard)
			after = o.Key
		}
		if len(objects) < listLimit {
			return unreturned
		}
	}
}

func addUnreturned(unreturned map[string]int64, shard *messenger.BudgetShard) {
	for _, b := range shard.Budgets {
		for _, h := range b.Holders {
			if _, leaving := unreturned[hostOf(h.Incarnation)]; leaving && !h.Closed {
				unreturned[hostOf(h.Incarnation)] += h.Limit
			}
		}
	}
}

// hostOf returns the host name of an incarnation (format: host-start-random).
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
