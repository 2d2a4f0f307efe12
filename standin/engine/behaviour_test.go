package engine_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/faulter"
)

// post sends without waiting.
func post(c *fasthttp.Client, id, body string) chan answer {
	done := make(chan answer, 1)
	go func() { done <- send(c, "POST", "/v1/chat/completions", id, body) }()
	return done
}

// drive advances the clock by steps until the answer is there.
func drive(clock *clocker.Clock, step clocker.Millis, done chan answer) (answer, clocker.Millis) {
	begun := clock.Now()
	for {
		select {
		case a := <-done:
			return a, clock.Now() - begun
		default:
		}
		if clock.WaiterCount() > 0 {
			clock.Advance(step)
		}
		runtime.Gosched()
	}
}

func TestCachedPrefixIsNotProcessedAgain(t *testing.T) {
	clock := clocker.NewManual(0)
	e, c := serve(t, engine.Config{Clock: clock, PrefillMsPerToken: 1})
	body := chat(false, 1, fmt.Sprintf("%400d", 1))
	_, first := drive(clock, 1, post(c, "r1", body))
	_, second := drive(clock, 1, post(c, "r2", body))
	assert.Assert(t, first >= 104 && second < 10, "%d then %d ms", first, second)
	assert.Equal(t, e.Log()[1].CachedTokens, int64(103))
	assert.Equal(t, len(e.CacheEvents(0)), 1)
}

func TestCacheIsBoundedAndTellsLateWithGaps(t *testing.T) {
	clock := clocker.NewManual(0)
	e, c := serve(t, engine.Config{Clock: clock, CacheTokens: 50, EventLagMs: 300, EventLossPercent: 50, Seed: 1})
	for i := range 40 {
		send(c, "POST", "/v1/chat/completions", fmt.Sprintf("r%d", i), chat(false, 1, fmt.Sprintf("%60d", i)))
	}
	assert.Equal(t, e.Load().CachedBlocks, 2)
	assert.Equal(t, len(e.CacheEvents(0)), 0)
	clock.Advance(300)
	told := e.CacheEvents(0)
	// 40 prefixes came and 38 left.
	assert.Assert(t, len(told) > 20 && len(told) < 58, "%d events", len(told))
	assert.Equal(t, len(e.CacheEvents(told[len(told)-1].Sequence)), 0)
}

func TestLoadReportsLag(t *testing.T) {
	clock := clocker.NewManual(0)
	e, c := serve(t, engine.Config{Clock: clock, DecodeMsPerToken: 1000, LoadLagMs: 200})
	post(c, "r1", chat(false, 1000, "hello"))
	for clock.WaiterCount() == 0 {
		runtime.Gosched()
	}
	clock.Advance(199)
	assert.Equal(t, e.Load().Running, 0)
	clock.Advance(1)
	assert.Equal(t, e.Load().Running, 1)
}

func TestOldFencingNumberIsRefusedOrIgnored(t *testing.T) {
	for _, checks := range []bool{false, true} {
		clock := clocker.NewManual(0)
		e, _ := serve(t, engine.Config{Clock: clock, Models: []string{"m"}, ChecksFencing: checks, LoadMsPerModel: 500})
		assert.Assert(t, e.Order(engine.Order{Fencing: 7, Models: []engine.Model{{Name: "m"}, {Name: "n"}}}))
		assert.Equal(t, len(e.State().Loading), 1)
		clock.Advance(500)
		assert.Equal(t, len(e.State().Models), 2)
		assert.Equal(t, e.Order(engine.Order{Fencing: 6}), !checks)
		assert.Equal(t, len(e.State().Models) == 0, !checks)
	}
}

func TestExportedBlocksSpareTheImporter(t *testing.T) {
	from, c1 := serve(t, engine.Config{Clock: clocker.NewManual(0)})
	to, c2 := serve(t, engine.Config{Clock: clocker.NewManual(0)})
	body := chat(false, 1, fmt.Sprintf("%400d", 1))
	send(c1, "POST", "/v1/chat/completions", "r1", body)
	asked, err := json.Marshal(engine.Blocks{Blocks: []engine.Block{{Prefix: from.CacheEvents(0)[0].Prefix}, {Prefix: 1}}})
	assert.NilError(t, err)
	exported := send(c1, "POST", "/kv/export", "", string(asked))
	send(c2, "POST", "/kv/import", "", exported.body)
	send(c2, "POST", "/v1/chat/completions", "r1", body)
	assert.Equal(t, to.Log()[0].CachedTokens, int64(103))
}

func TestOpenConnectionGoesSilentForGood(t *testing.T) {
	clock := clocker.NewManual(0)
	e, c := serve(t, engine.Config{Clock: clock, DecodeMsPerToken: 1})
	open := post(c, "r1", chat(true, 100, "hello"))
	for clock.WaiterCount() == 0 {
		runtime.Gosched()
	}
	e.SetFaults(faulter.Faults{SilenceOpen: true})
	resumed, _ := drive(clock, 1, func() chan answer {
		done := make(chan answer, 1)
		go func() { done <- send(c, "GET", "/v1/streams/r1?after=0", "", "") }()
		return done
	}())
	assert.Equal(t, words(t, resumed.body), engine.Answer("r1", "hello", engine.OutputTokens("r1", 100)))
	select {
	case <-open:
		t.Fatal("the silent connection answered")
	default:
	}
}

func TestLowerPriorityNumberGoesFirst(t *testing.T) {
	clock := clocker.NewManual(0)
	e, c := serve(t, engine.Config{Clock: clock, Slots: 1, DecodeMsPerToken: 10})
	first := post(c, "r1", chat(false, 50, "hello"))
	for clock.WaiterCount() == 0 {
		runtime.Gosched()
	}
	late := post(c, "r2", `{"model":"m","max_tokens":50,"priority":5,"messages":[{"role":"user","content":"x"}]}`)
	for len(e.Log()) < 2 {
		runtime.Gosched()
	}
	urgent := post(c, "r3", `{"model":"m","max_tokens":50,"priority":1,"messages":[{"role":"user","content":"x"}]}`)
	for len(e.Log()) < 3 {
		runtime.Gosched()
	}
	drive(clock, 10, first)
	drive(clock, 10, urgent)
	drive(clock, 10, late)
	log := e.Log()
	assert.Assert(t, log[2].EndedAt < log[1].EndedAt, "%+v", log)
}
