package loader

import (
	"slices"
	"strings"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cowsliphinge/checker"
	"cowsliphinge/clocker"
)

const (
	// maxLatency is the highest latency that is told apart, in microseconds.
	maxLatency = 600_000_000
	// significant figures of a latency.
	significant = 3
	// microsPerMilli converts milliseconds to microseconds.
	microsPerMilli = 1000
)

// measures collect latencies and counts. They may be used by many goroutines.
type measures struct {
	mu       sync.Mutex
	first    *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	whole    *hdrhistogram.Histogram
	outcomes map[checker.Outcome]int64
	codes    map[string]int64
	spend    map[string]int64
	shed     int64
	finished int64
}

func newMeasures() *measures {
	return &measures{
		first:    hdrhistogram.New(1, maxLatency, significant),
		between:  hdrhistogram.New(1, maxLatency, significant),
		whole:    hdrhistogram.New(1, maxLatency, significant),
		outcomes: map[checker.Outcome]int64{},
		codes:    map[string]int64{},
		spend:    map[string]int64{},
	}
}

func (m *measures) firstToken(micros int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.first.RecordValue(min(max(micros, 1), maxLatency))
}

func (m *measures) betweenTokens(micros int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.between.RecordValue(min(micros, maxLatency))
}

// finish notes an attempt that ended.
func (m *measures) finish(r checker.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.finished++
	m.outcomes[r.Outcome]++
	if r.Code != "" {
		m.codes[r.Code]++
	}
	m.spend[r.ClientAccount] += r.Tokens()
	if r.Outcome == checker.Answered {
		_ = m.whole.RecordValue(micros(r.FinishedAt - r.IntendedAt))
	}
}

func micros(d clocker.Millis) int64 {
	return min(max(int64(d)*microsPerMilli, 1), maxLatency)
}

func (m *measures) drop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shed++
}

// Latency are quantiles in milliseconds.
type Latency struct {
	Count int64
	P50   float64
	P95   float64
	P99   float64
	Max   float64
	// Curve holds the value of each tenth of a percent below 100, for plots.
	Curve []Point `json:",omitempty"`
}

// Point is one point of a distribution.
type Point struct {
	Percent float64
	Ms      float64
}

// Count is a number with a name.
type Count struct {
	Name  string
	Count int64
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(percent float64) float64 {
		return float64(h.ValueAtQuantile(percent)) / microsPerMilli
	}
	l := Latency{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / microsPerMilli}
	if l.Count == 0 {
		return Latency{}
	}
	for percent := 0.0; percent < 100; percent += 0.5 {
		l.Curve = append(l.Curve, Point{Percent: percent, Ms: at(percent)})
	}
	return l
}

func counts[K ~string](m map[K]int64) []Count {
	list := []Count{}
	for name, n := range m {
		list = append(list, Count{Name: string(name), Count: n})
	}
	slices.SortFunc(list, func(a, b Count) int { return strings.Compare(a.Name, b.Name) })
	return list
}
