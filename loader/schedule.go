package loader

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/engine"
)

// Arrival is one attempt that the schedule wants sent.
type Arrival struct {
	// At counts from the start, in milliseconds.
	At      clocker.Millis
	Account Account
	Kind    Kind
	// Key is empty for requests without an idempotency key.
	Key string
	// Body of the request.
	Body []byte
	// Prompt is the text of the last message; its first word is in the answer.
	Prompt string
	// PromptTokens of a language request, as the stand-in engine counts them.
	PromptTokens int64
	// WorstCase is the most tokens that the request can use.
	WorstCase int64
	Caller    string
	// RequestID is sent if it is not empty.
	RequestID string
}

// Schedule returns all arrivals of a plan by time. Equal plans give equal
// schedules.
func Schedule(p Plan) []Arrival {
	s := scheduler{plan: p, rng: rand.New(rand.NewPCG(p.Seed, 1))}
	var at float64
	for {
		at += s.gap()
		if clocker.Millis(at) >= p.DurationMs {
			break
		}
		s.add(clocker.Millis(at))
	}
	slices.SortStableFunc(s.arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range s.arrivals {
		s.arrivals[i].Caller = p.Callers[i%len(p.Callers)]
		if p.SendRequestIDs {
			s.arrivals[i].RequestID = fmt.Sprintf("direct-%d-%d", p.Seed, i)
		}
	}
	return s.arrivals
}

type scheduler struct {
	plan     Plan
	rng      *rand.Rand
	count    int
	arrivals []Arrival
}

// gap returns the milliseconds to the next request.
func (s *scheduler) gap() float64 {
	mean := float64(clocker.Second) / s.plan.RequestsPerSecond
	if s.plan.Arrivals == Poisson {
		return mean * s.rng.ExpFloat64()
	}
	return mean
}

func (s *scheduler) add(at clocker.Millis) {
	s.count++
	account := s.plan.Accounts[s.choose(len(s.plan.Accounts), func(i int) float64 { return s.plan.Accounts[i].Share })]
	kind := s.plan.Mix[s.choose(len(s.plan.Mix), func(i int) float64 { return s.plan.Mix[i].Share })]
	a := Arrival{At: at, Account: account, Kind: kind}
	s.fill(&a)
	repeated := s.rng.IntN(100) < kind.RepeatPercent
	if repeated || kind.NonIdempotent {
		a.Key = fmt.Sprintf("key-%d-%d", s.plan.Seed, s.count)
	}
	s.arrivals = append(s.arrivals, a)
	if repeated {
		a.At += kind.RepeatAfterMs
		s.arrivals = append(s.arrivals, a)
	}
}

// choose returns an index with a chance by its share.
func (s *scheduler) choose(n int, share func(int) float64) int {
	var total float64
	for i := range n {
		total += shareOrOne(share(i))
	}
	rest := s.rng.Float64() * total
	for i := range n {
		rest -= shareOrOne(share(i))
		if rest < 0 {
			return i
		}
	}
	return n - 1
}

func shareOrOne(share float64) float64 {
	if share == 0 {
		return 1
	}
	return share
}

func (s *scheduler) fill(a *Arrival) {
	unique := fmt.Sprintf("request %d of seed %d ", s.count, s.plan.Seed)
	a.Prompt = pad(unique, a.Kind.PromptBytes)
	if a.Kind.Model == "" {
		a.Body, _ = json.Marshal(order{Order: a.Prompt})
		a.WorstCase = a.Kind.CallTokens
		return
	}
	messages := []engine.Message{}
	if a.Kind.SharedBytes > 0 {
		shared := fmt.Sprintf("instructions %d ", s.rng.IntN(max(1, a.Kind.Prefixes)))
		messages = append(messages, message("system", pad(shared, a.Kind.SharedBytes)))
	}
	messages = append(messages, message("user", a.Prompt))
	a.PromptTokens = engine.PromptTokens(messages)
	a.WorstCase = a.Kind.MaxTokens
	for _, m := range messages {
		a.WorstCase += int64(len(m.Text())) + worstPerMessage
	}
	a.Body, _ = json.Marshal(chatBody{
		Model:     a.Kind.Model,
		Messages:  messages,
		MaxTokens: a.Kind.MaxTokens,
		Stream:    a.Kind.Stream,
	})
}

// worstPerMessage bounds what a message costs besides its content, in tokens.
const worstPerMessage = 8

type order struct {
	Order string
}

type chatBody struct {
	Model     string           `json:"model"`
	Messages  []engine.Message `json:"messages"`
	MaxTokens int64            `json:"max_tokens"`
	Stream    bool             `json:"stream"`
}

func message(role, text string) engine.Message {
	encoded, _ := json.Marshal(text)
	return engine.Message{Role: role, Content: encoded}
}

// pad lengthens text to n bytes.
func pad(text string, n int) string {
	if len(text) >= n {
		return text
	}
	return text + strings.Repeat("lorem ipsum ", n/12+1)[:n-len(text)]
}
