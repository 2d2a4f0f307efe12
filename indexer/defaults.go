package indexer

import (
	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
)

// withDefaults returns a copy of the policy with defaults in place of zeros.
func withDefaults(p *messenger.Policy) *messenger.Policy {
	filled := &messenger.Policy{}
	if p != nil {
		filled = proto.CloneOf(p)
	}
	fill(&filled.HeadroomMs, 5000)
	fill(&filled.OfflineReserveMs, 600000)
	fill(&filled.MaxShareOfRestMilli, 125)
	fill(&filled.PatienceMs, 2000)
	fill(&filled.RetryPercent, 10)
	fill(&filled.PlatformCallsPerSecond, 20)
	fill(&filled.WeightStoreMbPerSecond, 200)
	fill(&filled.BalancerDelayMs, 3000)
	fill(&filled.StopBoundMs, 120000)
	fill(&filled.AnswerRetentionMs, 86400000)
	fill(&filled.AffinitySpanServers, 16)
	fill(&filled.FloorTokens, 4096)
	return filled
}

func serviceWithDefaults(s *messenger.Service) *messenger.Service {
	filled := proto.CloneOf(s)
	fill(&filled.MaxOutputTokens, 1024)
	fill(&filled.QueueLimit, 256)
	fill(&filled.ProgressTimeoutMs, 5000)
	fill(&filled.DefaultDeadlineMs, 60000)
	return filled
}

func fill(field *int64, value int64) {
	if *field == 0 {
		*field = value
	}
}
