package runner

import (
	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

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
