package router_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/dispatcher"
	"cowsliphinge/standin/application"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/faulter"
	"cowsliphinge/standin/fleet"
	"cowsliphinge/streamer"
)

// faults are the ways in which a backend server fails, each for good or for
// the next answer.
var faults = []struct {
	name   string
	faults faulter.Faults
}{
	{"crashed", faulter.Faults{Crashed: true}},
	{"silent", faulter.Faults{Silent: true}},
	{"silent connection", faulter.Faults{SilenceOpen: true}},
	{"late answer", faulter.Faults{LateAnswers: 1, LateMs: 50}},
	{"crossed answer", faulter.Faults{CrossAnswers: 1}},
	{"truncated answer", faulter.Faults{TruncateAnswers: 1}},
	{"lost answer", faulter.Faults{LoseAnswers: 1}},
	{"refused", faulter.Faults{Refusals: 1}},
	{"refused for good", faulter.Faults{RefuseAll: true}},
	{"slow", faulter.Faults{SlowMs: 5}},
}

// steps are when the fault strikes, in events that the caller has by then.
var steps = []int{0, 1, 10}

const longDraft = `{"model":"draft-1","max_tokens":60,"stream":%t,"messages":[{"role":"user","content":"%s"}]}`

func setFaults(f *fleet.Fleet, server string, x faulter.Faults) {
	if e := f.Engines[server]; e != nil {
		e.SetFaults(x)
		return
	}
	f.Applications[server].SetFaults(x)
}

// result is what a caller saw of one request.
type result struct {
	status  int
	id      string
	text    string
	usage   dispatcher.Usage
	whole   bool
	refusal *dispatcher.Refusal
}

// read reads an answer to its end and calls at after that many events.
func read(t *testing.T, resp *http.Response, events int, at func()) result {
	t.Helper()
	r := result{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		r.refusal = &dispatcher.Refusal{}
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(r.refusal))
		return r
	}
	reader := streamer.NewReader(resp.Body)
	for n := 0; ; n++ {
		if n == events {
			at()
		}
		event, err := reader.Next()
		assert.NilError(t, err, "a stream must end with [DONE] or an error event")
		switch {
		case string(event.Name) == "error":
			r.refusal = &dispatcher.Refusal{}
			assert.NilError(t, json.Unmarshal(event.Data, r.refusal))
			_, err := reader.Next()
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "a broken answer must not end properly")
			return r
		case event.Done():
			r.whole = true
			_, err := reader.Next()
			assert.ErrorIs(t, err, io.EOF, "a whole answer must end properly")
			return r
		}
		r.add(t, event.Data)
	}
}

func (r *result) add(t *testing.T, data []byte) {
	t.Helper()
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
		Usage   *dispatcher.Usage
	}
	assert.NilError(t, json.Unmarshal(data, &chunk))
	for _, c := range chunk.Choices {
		r.text += c.Delta.Content
	}
	if chunk.Usage != nil {
		r.usage = *chunk.Usage
	}
}

// TestStreamFaultMatrix lets each fault strike a model engine at each step of
// a stream. The caller gets the whole answer, each token once and in order, or
// is told with a typed error that it is not whole.
func TestStreamFaultMatrix(t *testing.T) {
	f := start(t, 10_000_000)
	for _, fault := range faults {
		for _, events := range steps {
			t.Run(fmt.Sprintf("%s after %d events", fault.name, events), func(t *testing.T) {
				prompt := fault.name + t.Name()
				strike := func() { setFaults(f, "engine-1", fault.faults) }
				if events == 0 {
					strike()
				}
				resp := post(t, f, "host-a", "/v1/chat/completions", "", fmt.Sprintf(longDraft, true, prompt))
				r := read(t, resp, events, strike)
				setFaults(f, "engine-1", faulter.Faults{})
				checkStream(t, f, prompt, r)
			})
		}
	}
}

func checkStream(t *testing.T, f *fleet.Fleet, prompt string, r result) {
	t.Helper()
	if r.whole {
		assert.Equal(t, strings.ReplaceAll(r.text, " ", ""), strings.ReplaceAll(engine.Answer(r.id, prompt, r.usage.CompletionTokens), " ", ""))
		return
	}
	assert.Assert(t, r.refusal != nil)
	assert.Assert(t, r.refusal.Code != "")
	assert.Equal(t, r.refusal.RequestID, r.id)
	runs := f.Engines["engine-1"].Runs()[r.id] + f.Engines["engine-2"].Runs()[r.id]
	if r.refusal.NotRun {
		assert.Equal(t, runs, 0)
	}
}

// TestOrderFaultMatrix lets each fault strike an application server before and
// after a keyed and an unkeyed order, and repeats the keyed one at the other
// host. It runs at most once, and "not run" is true.
func TestOrderFaultMatrix(t *testing.T) {
	f := start(t, 10_000_000)
	server := f.Applications["orders-1"]
	// A request that a silent server held may run once the fault is over: runs
	// are counted by request ID, and once more at the end.
	most := map[string]int{}
	for i, fault := range faults {
		for _, keyed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s keyed %t", fault.name, keyed), func(t *testing.T) {
				key := ""
				if keyed {
					key = fmt.Sprintf("order-%d", i)
				}
				setFaults(f, "orders-1", fault.faults)
				first := order(t, f, "host-a", key)
				setFaults(f, "orders-1", faulter.Faults{})
				most[first.id] = 1
				if first.refusal != nil && first.refusal.NotRun {
					most[first.id] = 0
				}
				checkRuns(t, server, most)
				if !keyed {
					return
				}
				most[first.id] = 1 // a repeat may run what was not run
				second := order(t, f, "host-b", key)
				assert.Assert(t, server.Runs()[key] <= 1)
				if first.status == http.StatusOK {
					assert.Equal(t, second.text, first.text)
				}
			})
		}
	}
	checkRuns(t, server, most)
}

// checkRuns checks that each request ran at most as often as it may have.
func checkRuns(t *testing.T, server *application.Server, most map[string]int) {
	t.Helper()
	runs := map[string]int{}
	for _, run := range server.Log() {
		runs[run.RequestID]++
	}
	for id, n := range most {
		assert.Assert(t, runs[id] <= n, "request %s ran %d times, may have run %d times", id, runs[id], n)
	}
}

func order(t *testing.T, f *fleet.Fleet, host, key string) result {
	t.Helper()
	resp := post(t, f, host, "/orders/place", key, `{"Urn":1}`)
	r := result{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id")}
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	if resp.StatusCode == http.StatusOK {
		r.text = string(body)
		return r
	}
	r.refusal = &dispatcher.Refusal{}
	assert.NilError(t, json.Unmarshal(body, r.refusal))
	return r
}
