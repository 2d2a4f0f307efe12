package indexer

import (
	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
)

// policyWithDefaults returns a copy of the policy in which zeros are replaced by defaults.
func policyWithDefaults(p *messenger.Policy) *messenger.Policy {
	filled := &messenger.Policy{}
	if p != nil {
		filled = proto.CloneOf(p)
	}
	setDefault(&filled.HeadroomMs, 5000)
	setDefault(&filled.OfflineReserveMs, 600000)
	setDefault(&filled.MaxShareOfRestMilli, 125)
	setDefault(&filled.PatienceMs, 2000)
	setDefault(&filled.RetryPercent, 10)
	setDefault(&filled.PlatformCallsPerSecond, 20)
	setDefault(&filled.WeightStoreMbPerSecond, 200)
	setDefault(&filled.BalancerDelayMs, 3000)
	setDefault(&filled.StopBoundMs, 120000)
	setDefault(&filled.AnswerRetentionMs, 86400000)
	setDefault(&filled.AffinitySpanServers, 16)
	setDefault(&filled.FloorTokens, 4096)
	return filled
}

// serviceWithDefaults returns a copy of the service in which zeros are replaced by defaults.
func serviceWithDefaults(s *messenger.Service) *messenger.Service {
	filled := proto.CloneOf(s)
	setDefault(&filled.MaxOutputTokens, 1024)
	setDefault(&filled.QueueLimit, 256)
	setDefault(&filled.ProgressTimeoutMs, 5000)
	setDefault(&filled.DefaultDeadlineMs, 60000)
	return filled
}

func setDefault(field *int64, defaultValue int64) {
	if *field == 0 {
		*field = defaultValue
	}
}
