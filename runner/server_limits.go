package runner

import (
	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// maxBrittleServices bounds the services that one heartbeat may tell of.
const maxBrittleServices = 64

// requestsPerKilosecond converts requests a second for messages between hosts.
const requestsPerKilosecond = 1000

// serverLimits returns the limits of backend servers for a heartbeat.
func (b *backendPool) serverLimits() []*messenger.ServerLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var limits []*messenger.ServerLimit
	for _, r := range b.chooser.LimitReports(now) {
		limits = append(limits, &messenger.ServerLimit{
			Server:                r.Server,
			StartedAtMs:           int64(r.StartedAt),
			Limited:               r.Limited,
			RequestsPerKilosecond: int64(r.PerSecond * requestsPerKilosecond),
			AgeMs:                 int64(now - r.At),
		})
	}
	return limits
}

// applyLimitsOfBeat applies the limits of backend servers in a heartbeat of another host.
func (b *backendPool) applyLimitsOfBeat(beat *messenger.Beat) {
	if len(beat.Limits) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	reports := make([]chooser.LimitReport, 0, len(beat.Limits))
	for _, l := range beat.Limits {
		reports = append(reports, chooser.LimitReport{
			Server:    l.Server,
			StartedAt: clocker.Millis(l.StartedAtMs),
			Limited:   l.Limited,
			PerSecond: float64(l.RequestsPerKilosecond) / requestsPerKilosecond,
			At:        now - clocker.Millis(max(0, l.AgeMs)),
		})
	}
	for _, id := range b.chooser.ApplyLimitReports(reports, now) {
		b.logLimit(id, "host", beat.Host)
	}
}

// logLimit logs that the limit of a backend server began or ended, and who told of it: the
// server or another host.
func (b *backendPool) logLimit(id, source, name string) {
	perSecond, limited := b.chooser.Limit(id)
	metrics.GetOrCreateCounter(`cowsliphinge_server_limit_changes_total{told_by="` + source + `"}`).Inc()
	b.log.Info("limit of a backend server began or ended", "server", id, "limited", limited, "per_second", perSecond, "told_by", source, "teller", name)
}

// brittleness returns the brittle services, and those that were lately, for a heartbeat.
func (b *backendPool) brittleness() []*messenger.ServiceBrittleness {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var services []*messenger.ServiceBrittleness
	for _, r := range b.chooser.BrittlenessReports(now) {
		services = append(services, &messenger.ServiceBrittleness{
			Service:                 r.Service,
			Brittle:                 r.Brittle,
			RejectionsPerKilosecond: int64(r.RejectionsPerSecond * requestsPerKilosecond),
			AgeMs:                   int64(now - r.At),
		})
	}
	return services
}

// applyBrittlenessOfBeat applies what a heartbeat of another host tells of brittle services.
func (b *backendPool) applyBrittlenessOfBeat(beat *messenger.Beat) {
	if len(beat.Brittleness) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	reports := make([]chooser.BrittlenessReport, 0, len(beat.Brittleness))
	for _, s := range beat.Brittleness[:min(len(beat.Brittleness), maxBrittleServices)] {
		reports = append(reports, chooser.BrittlenessReport{
			Service:             s.Service,
			Brittle:             s.Brittle,
			RejectionsPerSecond: float64(s.RejectionsPerKilosecond) / requestsPerKilosecond,
			At:                  now - clocker.Millis(max(0, s.AgeMs)),
		})
	}
	for _, service := range b.chooser.ApplyBrittlenessReports(reports) {
		b.logBrittleness(service, "host", beat.Host)
	}
}

// logBrittleness logs that a service became brittle or is no longer, and who told of it.
func (b *backendPool) logBrittleness(service, source, name string) {
	perSecond, brittle := b.chooser.Brittle(service)
	metrics.GetOrCreateCounter(`cowsliphinge_brittle_service_changes_total{told_by="` + source + `"}`).Inc()
	b.log.Info("servers of a service became brittle or are no longer", "service", service, "brittle", brittle, "rejections_per_second", perSecond, "told_by", source, "teller", name)
}
