// Package mover executes planned moves of hosts and backend servers. Planning
// and progress are pure functions; the wrapper around them acts under a lease,
// so any host may execute a move and an earlier holder that resumes after a pause
// does no harm. Leaving hosts and servers drain at the time in the move, which
// every host has in its configuration, and need no command from the mover.
package mover

import (
	"fmt"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/orderer"
)

// Kinds of steps, in the order in which a move runs them.
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
	// propagationMs is how long before the drain a move must be started so that
	// every host has received it.
	propagationMs = 5 * clocker.Second
	// minCapacityPercent is the share of a service's slots that must remain.
	minCapacityPercent = 75
	// warmUpEstimateMs is the estimated time to copy cached prefixes to one engine.
	warmUpEstimateMs = 2 * clocker.Second
	// minHolders is the number of hosts that should remain in an availability zone,
	// so that bills and limits have a second host there.
	minHolders = 2
)

// Plan returns the steps and findings of a move. Findings that are warnings do
// not prevent a move from being started.
func Plan(d *messenger.Declarations, move *messenger.Move, now clocker.Millis) *messenger.MoveReport {
	p := &planner{
		d: d, move: move, now: now,
		index: indexer.New(&messenger.Configuration{Declarations: d}),
	}
	p.checkNames()
	p.checkTimes()
	p.checkLoadTime()
	p.checkCapacity()
	p.checkZones()
	p.checkOfflineReserve()
	return &messenger.MoveReport{Move: move, Steps: Steps(d, move), Findings: p.findings}
}

// Steps returns the steps of a move, all pending. Arrivals are loaded one after
// the other and then warmed up, before leaving servers and hosts drain and leaving
// hosts return their limits.
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
				add(kind, name, warmUpEstimateMs)
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

func (p *planner) block(path, format string, args ...any) {
	p.findings = append(p.findings, &messenger.Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (p *planner) warn(path, format string, args ...any) {
	p.findings = append(p.findings, &messenger.Finding{Path: path, Message: fmt.Sprintf(format, args...), Warning: true})
}

// checkNames finds hosts and backend servers that are not declared.
func (p *planner) checkNames() {
	for _, name := range append(slices.Clone(p.move.LeavingHosts), p.move.ArrivingHosts...) {
		if p.index.Host(name) == nil {
			p.block("$", "no host is named %q", name)
		}
	}
	for _, name := range append(slices.Clone(p.move.LeavingBackendServers), p.move.ArrivingBackendServers...) {
		if p.index.BackendServer(name) == nil {
			p.block("$", "no backend server is named %q", name)
		}
	}
}

func (p *planner) checkTimes() {
	drain := clocker.Millis(p.move.DrainAtMs)
	if drain < p.now+propagationMs {
		p.block("$.DrainAtMs", "must be at least %d ms ahead, so that each host knows the move before", propagationMs)
	}
	if window := clocker.Millis(p.move.DueAtMs) - drain; window < longestDeadline(p.index) {
		p.block("$.DueAtMs", "leaves %d ms to drain, the longest request may take %d ms", window, longestDeadline(p.index))
	}
	if p.move.StartAtMs > p.move.DrainAtMs {
		p.block("$.DrainAtMs", "must not be before StartAtMs")
	}
}

// checkLoadTime checks that the arrivals can be loaded from the weight store and
// warmed up before the drain.
func (p *planner) checkLoadTime() {
	var needed clocker.Millis
	for _, s := range Steps(p.d, p.move) {
		if s.Kind == Load || s.Kind == Warm {
			needed += clocker.Millis(s.EstimatedMs)
		}
	}
	start := max(p.now, clocker.Millis(p.move.StartAtMs))
	if needed > 0 {
		needed += readyMarginMs
	}
	if available := clocker.Millis(p.move.DrainAtMs) - start; needed > available {
		p.block("$.DrainAtMs", "loading and warming the arrivals ahead of the drain takes %d ms at %d MB/s of the weight store, there are %d ms",
			needed, p.index.Policy.WeightStoreMbPerSecond, max(0, available))
	}
}

// serviceZone identifies a service in an availability zone.
type serviceZone struct{ service, zone string }

// checkCapacity compares the slots of each service before and after the move.
func (p *planner) checkCapacity() {
	before, after := map[string]int64{}, map[string]int64{}
	zoneSlotsBefore, zoneSlotsAfter := map[serviceZone]int64{}, map[serviceZone]int64{}
	for _, b := range p.d.BackendServers {
		slots := max(1, b.Slots)
		key := serviceZone{b.Service, b.AvailabilityZone}
		if !slices.Contains(p.move.ArrivingBackendServers, b.Name) {
			before[b.Service] += slots
			zoneSlotsBefore[key] += slots
		}
		if !slices.Contains(p.move.LeavingBackendServers, b.Name) {
			after[b.Service] += slots
			zoneSlotsAfter[key] += slots
		}
	}
	for _, s := range p.d.Services {
		if after[s.Name]*100 < before[s.Name]*minCapacityPercent {
			p.block("$.LeavingBackendServers", "service %s keeps %d of %d slots, less than %d%%",
				s.Name, after[s.Name], before[s.Name], minCapacityPercent)
		}
	}
	for _, key := range sortedServiceZones(zoneSlotsBefore) {
		if zoneSlotsAfter[key] == 0 && p.remainingHosts(key.zone) > 0 {
			p.warn("$.LeavingBackendServers", "zone %s keeps hosts but no backend server of service %s: cut off, it serves none", key.zone, key.service)
		}
	}
}

func sortedServiceZones(slots map[serviceZone]int64) []serviceZone {
	list := make([]serviceZone, 0, len(slots))
	for key := range slots {
		list = append(list, key)
	}
	slices.SortFunc(list, func(a, b serviceZone) int {
		if a.zone+"/"+a.service < b.zone+"/"+b.service {
			return -1
		}
		return 1
	})
	return list
}

func (p *planner) remainingHosts(zone string) int {
	n := 0
	for _, h := range p.d.Hosts {
		if h.AvailabilityZone == zone && !slices.Contains(p.move.LeavingHosts, h.Name) {
			n++
		}
	}
	return n
}

// checkZones finds availability zones that keep backend servers but too few hosts.
func (p *planner) checkZones() {
	checked := map[string]bool{}
	for _, b := range p.d.BackendServers {
		if checked[b.AvailabilityZone] || slices.Contains(p.move.LeavingBackendServers, b.Name) {
			continue
		}
		checked[b.AvailabilityZone] = true
		switch n := p.remainingHosts(b.AvailabilityZone); {
		case n == 0:
			p.block("$.LeavingHosts", "zone %s keeps backend servers but no host", b.AvailabilityZone)
		case n < minHolders && p.leavesHostIn(b.AvailabilityZone):
			p.warn("$.LeavingHosts", "zone %s keeps %d host: bills and limits have no second one there", b.AvailabilityZone, n)
		}
	}
}

func (p *planner) leavesHostIn(zone string) bool {
	return slices.ContainsFunc(p.move.LeavingHosts, func(name string) bool {
		return p.index.Host(name).GetAvailabilityZone() == zone
	})
}

// checkOfflineReserve compares the offline reserve of budgets with the duration
// of the move.
func (p *planner) checkOfflineReserve() {
	window := p.move.DueAtMs - max(int64(p.now), p.move.StartAtMs)
	if window > p.index.Policy.OfflineReserveMs {
		p.warn("$.DueAtMs", "the move lasts %d ms, the offline reserve of budgets %d ms: a zone cut off for all of it may run short",
			window, p.index.Policy.OfflineReserveMs)
	}
}

// Blocking returns the findings that prevent a move from being started.
func Blocking(findings []*messenger.Finding) []*messenger.Finding {
	var blocking []*messenger.Finding
	for _, f := range findings {
		if !f.Warning {
			blocking = append(blocking, f)
		}
	}
	return blocking
}
