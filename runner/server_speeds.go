package runner

import (
	"fmt"
	"math"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

const (
	// slownessPermille converts the slowness of a server for messages between hosts.
	slownessPermille = 1000
	// maxSpeedsPerBeat bounds the speeds that are read from one heartbeat.
	maxSpeedsPerBeat = 256
)

// serverSpeeds returns the speeds of backend servers for a heartbeat.
func (b *backendPool) serverSpeeds() []*messenger.ServerSpeed {
	b.mu.Lock()
	defer b.mu.Unlock()
	var speeds []*messenger.ServerSpeed
	for _, r := range b.chooser.SpeedReports() {
		speeds = append(speeds, &messenger.ServerSpeed{
			Server:           r.Server,
			StartedAtMs:      int64(r.StartedAt),
			SlownessPermille: int64(math.Round(r.Slowness * slownessPermille)),
			Evidence:         int64(math.Round(r.Evidence)),
		})
	}
	return speeds
}

// applySpeedsOfBeat applies the speeds of backend servers in a heartbeat of another host.
func (b *backendPool) applySpeedsOfBeat(beat *messenger.Beat) {
	if len(beat.Speeds) == 0 {
		return
	}
	reports := make([]chooser.SpeedReport, 0, len(beat.Speeds))
	for _, s := range beat.Speeds[:min(len(beat.Speeds), maxSpeedsPerBeat)] {
		reports = append(reports, chooser.SpeedReport{
			Server:    s.Server,
			StartedAt: clocker.Millis(s.StartedAtMs),
			Slowness:  float64(s.SlownessPermille) / slownessPermille,
			Evidence:  float64(s.Evidence),
		})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chooser.ApplySpeedReports(beat.Host, reports)
}

// publishSpreads sets the metrics of the choice among backend servers. The caller holds mu.
func (b *backendPool) publishSpreads() {
	for _, s := range b.chooser.Spreads(b.clock.Now()) {
		for name, value := range map[string]float64{
			"cowsliphinge_learned_prefill_tokens_per_second": 1 / s.Rates.PerToken * float64(clocker.Second),
			"cowsliphinge_learned_batched_request_seconds":   s.Rates.PerBatched / float64(clocker.Second),
			"cowsliphinge_learned_queued_request_seconds":    s.Rates.PerQueued / float64(clocker.Second),
			"cowsliphinge_first_events_learned":              float64(s.Rates.Observations),
			"cowsliphinge_fastest_server_slowness":           s.Fastest,
			"cowsliphinge_slowest_server_slowness":           s.Slowest,
			"cowsliphinge_busiest_server_ratio":              s.Busiest,
			"cowsliphinge_full_servers":                      float64(s.Full),
		} {
			metrics.GetOrCreateGauge(fmt.Sprintf("%s{service=%q}", name, s.Service), nil).Set(value)
		}
	}
}
