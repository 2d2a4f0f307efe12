// Package experimenter measures the routing deciders against plain policies on
// small fake engines, driven by simulated time. It is no product code and no
// model of a whole cluster: it covers what a choice of backend server changes.
package experimenter

// Parameters describe one run. Times are milliseconds, sizes are tokens.
type Parameters struct {
	// Seed of everything random.
	Seed uint64
	// Zones, and hosts and engines in each of them.
	Zones          int
	HostsPerZone   int
	EnginesPerZone int
	// Rate of arriving requests, per second, over all hosts.
	Rate float64
	// Warmup is left out of the figures, Length follows it.
	Warmup float64
	Length float64
	// Deadline of each request after its arrival.
	Deadline float64

	// Prefixes is how many prompt prefixes are in use, Skew the exponent of
	// their Zipf distribution, PrefixTokens the length of each.
	Prefixes     uint64
	Skew         float64
	PrefixTokens int
	// SuffixTokens is the mean length of the rest of a prompt, OutputTokens the
	// mean and MaxOutput the largest length of an answer.
	SuffixTokens int
	OutputTokens int
	MaxOutput    int

	// Demand is the relative demand of each client account.
	Demand []float64

	// Slots and QueueLimit of an engine; beyond both it refuses.
	Slots      int
	QueueLimit int
	// An engine step takes StepBase, StepSequence for each sequence that
	// decodes, and StepPrefill for each prompt token, at most ChunkTokens.
	StepBase     float64
	StepSequence float64
	StepPrefill  float64
	ChunkTokens  int
	// CachePrefixes is how many prefixes an engine holds.
	CachePrefixes int

	// NetworkOwn and NetworkOther are one-way delays within and between zones.
	NetworkOwn   float64
	NetworkOther float64
	// ReportEvery is how often an engine samples its load, PollEvery how often
	// a host asks one engine, EventDelay and EventLoss what befalls cache events.
	ReportEvery float64
	PollEvery   float64
	EventDelay  float64
	EventLoss   float64

	// SlowEngine makes engine 0 this many times slower; 0 makes none.
	SlowEngine float64
	// ZoneGoneAt is when zone 0 goes; 0 is never. ConnectTimeout is how long
	// an attempt at a gone engine takes to fail.
	ZoneGoneAt     float64
	ConnectTimeout float64
	// FailingShare of the answers break off at their first token.
	FailingShare float64
	// RetryPercent is the retry budget.
	RetryPercent int64
}

// Defaults returns the parameters of a fleet of today's size: four zones with
// three engines and two hosts each, and prompts that share long prefixes.
func Defaults() Parameters {
	return Parameters{
		Seed: 1, Zones: 4, HostsPerZone: 2, EnginesPerZone: 3,
		Rate: 30, Warmup: 20_000, Length: 100_000, Deadline: 15_000,
		Prefixes: 200, Skew: 1.1, PrefixTokens: 1500,
		SuffixTokens: 150, OutputTokens: 100, MaxOutput: 256,
		Demand: []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
		Slots:  16, QueueLimit: 64,
		StepBase: 15, StepSequence: 0.5, StepPrefill: 0.12, ChunkTokens: 512,
		CachePrefixes: 24,
		NetworkOwn:    0.25, NetworkOther: 0.5,
		ReportEvery: 200, PollEvery: 50, EventDelay: 500, EventLoss: 0.1,
		ConnectTimeout: 1000,
		RetryPercent:   10,
	}
}
