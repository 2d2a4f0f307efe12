// Package mover carries planned moves out. Planning and progress are decided
// without input or output; the shell around them acts under a lease, so any
// host may carry a move and a paused earlier holder does no harm. Leavings
// drain by the plan itself, which every host has in its configuration.
package mover

import (
	"fmt"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/orderer"
)

// Kinds of steps, in the order in which a move takes them.
const (
	Load   = "Load"
	Warm   = "Warm"
	Drain  = "Drain"
	Return = "Return"
)

// States of a step.
const (
	Pending = "Pending"
	Running = "Running"
	Done    = "Done"
)

const (
	// spreadMs is how long before the drain a move has to be started, so that
	// each host has it in force.
	spreadMs = 5 * clocker.Second
	// leastCapacityPercent is the part of a service's slots that must remain.
	leastCapacityPercent = 75
	// warmEstimateMs is what copying cached prefixes to one engine is taken to last.
	warmEstimateMs = 2 * clocker.Second
	// leastHolders is how many hosts of an availability zone hold its limits.
	leastHolders = 2
)

// Plan returns the steps of a move and what stands against it. Findings that
// are warnings do not keep a move from being started.
func Plan(d *messenger.Declarations, move *messenger.Move, now clocker.Millis) *messenger.MoveReport {
	p := &planner{
		d: d, move: move, now: now,
		index: indexer.New(&messenger.Configuration{Declarations: d}),
	}
	p.names()
	p.times()
	p.loads()
	p.capacity()
	p.zones()
	p.reserve()
	return &messenger.MoveReport{Move: move, Steps: Steps(d, move), Findings: p.findings}
}

// Steps returns the steps of a move, all pending: arrivals are loaded one after
// the other and warmed before leavings drain and return their limits.
func Steps(d *messenger.Declarations, move *messenger.Move) []*messenger.MoveStep {
	index := indexer.New(&messenger.Configuration{Declarations: d})
	var steps []*messenger.MoveStep
	add := func(kind, target string, estimate clocker.Millis) {
		steps = append(steps, &messenger.MoveStep{
			Order: int64(len(steps) + 1), Kind: kind, Target: target, EstimatedMs: int64(estimate), State: Pending,
		})
	}
	for _, kind := range []string{Load, Warm} {
		for _, name := range move.ArrivingBackendServers {
			b := index.BackendServer(name)
			if b == nil || len(b.Models) == 0 {
				continue
			}
			if kind == Warm {
				add(kind, name, warmEstimateMs)
				continue
			}
			add(kind, name, orderer.LoadTime(d, index.Policy, orderer.DesiredOrder(d, b).Models))
		}
	}
	for _, name := range append(slices.Clone(move.LeavingBackendServers), move.LeavingHosts...) {
		add(Drain, name, longestDeadline(index))
	}
	for _, name := range move.LeavingHosts {
		add(Return, name, clocker.Millis(index.Policy.StopBoundMs))
	}
	return steps
}

func longestDeadline(index *indexer.Index) clocker.Millis {
	longest := clocker.Millis(0)
	for _, s := range index.Configuration.GetDeclarations().GetServices() {
		longest = max(longest, clocker.Millis(index.Service(s.Name).DefaultDeadlineMs))
	}
	return longest
}

type planner struct {
	d        *messenger.Declarations
	move     *messenger.Move
	now      clocker.Millis
	index    *indexer.Index
	findings []*messenger.Finding
}

func (p *planner) stop(path, format string, args ...any) {
	p.findings = append(p.findings, &messenger.Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (p *planner) warn(path, format string, args ...any) {
	p.findings = append(p.findings, &messenger.Finding{Path: path, Message: fmt.Sprintf(format, args...), Warning: true})
}

// names finds hosts and backend servers that are not declared.
func (p *planner) names() {
	for _, name := range append(slices.Clone(p.move.LeavingHosts), p.move.ArrivingHosts...) {
		if p.index.Host(name) == nil {
			p.stop("$", "no host is named %q", name)
		}
	}
	for _, name := range append(slices.Clone(p.move.LeavingBackendServers), p.move.ArrivingBackendServers...) {
		if p.index.BackendServer(name) == nil {
			p.stop("$", "no backend server is named %q", name)
		}
	}
}

func (p *planner) times() {
	drain := clocker.Millis(p.move.DrainAtMs)
	if drain < p.now+spreadMs {
		p.stop("$.DrainAtMs", "must be at least %d ms ahead, so that each host knows the move before", spreadMs)
	}
	if window := clocker.Millis(p.move.DueAtMs) - drain; window < longestDeadline(p.index) {
		p.stop("$.DueAtMs", "leaves %d ms to drain, the longest request may take %d ms", window, longestDeadline(p.index))
	}
	if p.move.StartAtMs > p.move.DrainAtMs {
		p.stop("$.DrainAtMs", "must not be before StartAtMs")
	}
}

// loads compares the loads with the rate of the weight store and the time.
func (p *planner) loads() {
	var needed clocker.Millis
	for _, s := range Steps(p.d, p.move) {
		if s.Kind == Load || s.Kind == Warm {
			needed += clocker.Millis(s.EstimatedMs)
		}
	}
	begin := max(p.now, clocker.Millis(p.move.StartAtMs))
	if needed > 0 {
		needed += readyAheadMs
	}
	if given := clocker.Millis(p.move.DrainAtMs) - begin; needed > given {
		p.stop("$.DrainAtMs", "loading and warming the arrivals ahead of the drain takes %d ms at %d MB/s of the weight store, there are %d ms",
			needed, p.index.Policy.WeightStoreMbPerSecond, max(0, given))
	}
}

// place is a service in an availability zone.
type place struct{ service, zone string }

// capacity compares the slots of each service before and after the move.
func (p *planner) capacity() {
	before, after := map[string]int64{}, map[string]int64{}
	placeBefore, placeAfter := map[place]int64{}, map[place]int64{}
	for _, b := range p.d.BackendServers {
		slots := max(1, b.Slots)
		at := place{b.Service, b.AvailabilityZone}
		if !slices.Contains(p.move.ArrivingBackendServers, b.Name) {
			before[b.Service] += slots
			placeBefore[at] += slots
		}
		if !slices.Contains(p.move.LeavingBackendServers, b.Name) {
			after[b.Service] += slots
			placeAfter[at] += slots
		}
	}
	for _, s := range p.d.Services {
		if after[s.Name]*100 < before[s.Name]*leastCapacityPercent {
			p.stop("$.LeavingBackendServers", "service %s keeps %d of %d slots, less than %d%%",
				s.Name, after[s.Name], before[s.Name], leastCapacityPercent)
		}
	}
	for _, at := range sortedPlaces(placeBefore) {
		if placeAfter[at] == 0 && p.hostsAfter(at.zone) > 0 {
			p.warn("$.LeavingBackendServers", "zone %s keeps hosts but no backend server of service %s: cut off, it serves none", at.zone, at.service)
		}
	}
}

func sortedPlaces(places map[place]int64) []place {
	list := make([]place, 0, len(places))
	for at := range places {
		list = append(list, at)
	}
	slices.SortFunc(list, func(a, b place) int {
		if a.zone+"/"+a.service < b.zone+"/"+b.service {
			return -1
		}
		return 1
	})
	return list
}

func (p *planner) hostsAfter(zone string) int {
	n := 0
	for _, h := range p.d.Hosts {
		if h.AvailabilityZone == zone && !slices.Contains(p.move.LeavingHosts, h.Name) {
			n++
		}
	}
	return n
}

// zones finds availability zones that are left without hosts.
func (p *planner) zones() {
	seen := map[string]bool{}
	for _, b := range p.d.BackendServers {
		if seen[b.AvailabilityZone] || slices.Contains(p.move.LeavingBackendServers, b.Name) {
			continue
		}
		seen[b.AvailabilityZone] = true
		switch n := p.hostsAfter(b.AvailabilityZone); {
		case n == 0:
			p.stop("$.LeavingHosts", "zone %s keeps backend servers but no host", b.AvailabilityZone)
		case n < leastHolders && p.leavesHostIn(b.AvailabilityZone):
			p.warn("$.LeavingHosts", "zone %s keeps %d host: bills and limits have no second one there", b.AvailabilityZone, n)
		}
	}
}

func (p *planner) leavesHostIn(zone string) bool {
	return slices.ContainsFunc(p.move.LeavingHosts, func(name string) bool {
		return p.index.Host(name).GetAvailabilityZone() == zone
	})
}

// reserve compares the offline reserve of budgets with the length of the move.
func (p *planner) reserve() {
	window := p.move.DueAtMs - max(int64(p.now), p.move.StartAtMs)
	if window > p.index.Policy.OfflineReserveMs {
		p.warn("$.DueAtMs", "the move lasts %d ms, the offline reserve of budgets %d ms: a zone cut off for all of it may run short",
			window, p.index.Policy.OfflineReserveMs)
	}
}

// Blocking returns the findings that keep a move from being started.
func Blocking(findings []*messenger.Finding) []*messenger.Finding {
	var blocking []*messenger.Finding
	for _, f := range findings {
		if !f.Warning {
			blocking = append(blocking, f)
		}
	}
	return blocking
}
