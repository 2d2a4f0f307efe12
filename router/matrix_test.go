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

// backendFaults are the injected faults of a backend server, permanent or for
// the next answer only.
var backendFaults = []struct {
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

// faultPositions are the points of a stream at which the fault is injected, in
// events that the caller has received.
var faultPositions = []int{0, 1, 10}

const longDraftRequest = `{"model":"draft-1","max_tokens":60,"stream":%t,"messages":[{"role":"user","content":"%s"}]}`

func setFaults(f *fleet.Fleet, server string, x faulter.Faults) {
	if e := f.Engines[server]; e != nil {
		e.SetFaults(x)
		return
	}
	f.Applications[server].SetFaults(x)
}

// result is the answer or error that a caller received for one request.
type result struct {
	status    int
	requestID string
	text      string
	usage     dispatcher.Usage
	complete  bool
	refusal   *dispatcher.Refusal
}

// readAnswer reads an answer to its end and calls atEvent after the given
// number of events.
func readAnswer(t *testing.T, resp *http.Response, events int, atEvent func()) result {
	t.Helper()
	r := result{status: resp.StatusCode, requestID: resp.Header.Get("X-Request-Id")}
	if resp.StatusCode != http.StatusOK {
		r.refusal = &dispatcher.Refusal{}
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(r.refusal))
		return r
	}
	reader := streamer.NewReader(resp.Body)
	for n := 0; ; n++ {
		if n == events {
			atEvent()
		}
		event, err := reader.Next()
		assert.NilError(t, err, "a stream must end with [DONE] or an error event")
		switch {
		case string(event.Name) == "error":
			r.refusal = &dispatcher.Refusal{}
			assert.NilError(t, json.Unmarshal(event.Data, r.refusal))
			_, err := reader.Next()
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "a truncated answer must not end as a complete one")
			return r
		case event.Done():
			r.complete = true
			_, err := reader.Next()
			assert.ErrorIs(t, err, io.EOF, "a complete answer must end without an error")
			return r
		}
		r.addChunk(t, event.Data)
	}
}

func (r *result) addChunk(t *testing.T, data []byte) {
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

// TestStreamFaultMatrix injects each fault into a model engine at each position
// of a stream. The caller receives the complete answer, each token once and in
// order, or a typed error that says that the answer is incomplete.
func TestStreamFaultMatrix(t *testing.T) {
	f := startFleet(t, 10_000_000)
	for _, fault := range backendFaults {
		for _, events := range faultPositions {
			t.Run(fmt.Sprintf("%s after %d events", fault.name, events), func(t *testing.T) {
				prompt := fault.name + t.Name()
				injectFault := func() { setFaults(f, "engine-1", fault.faults) }
				if events == 0 {
					injectFault()
				}
				resp := post(t, f, "host-a", "/v1/chat/completions", "", fmt.Sprintf(longDraftRequest, true, prompt))
				r := readAnswer(t, resp, events, injectFault)
				setFaults(f, "engine-1", faulter.Faults{})
				checkStream(t, f, prompt, r)
			})
		}
	}
}

func checkStream(t *testing.T, f *fleet.Fleet, prompt string, r result) {
	t.Helper()
	if r.complete {
		assert.Equal(t, strings.ReplaceAll(r.text, " ", ""), strings.ReplaceAll(engine.Answer(r.requestID, prompt, r.usage.CompletionTokens), " ", ""))
		return
	}
	assert.Assert(t, r.refusal != nil)
	assert.Assert(t, r.refusal.Code != "")
	assert.Equal(t, r.refusal.RequestID, r.requestID)
	runs := f.Engines["engine-1"].Runs()[r.requestID] + f.Engines["engine-2"].Runs()[r.requestID]
	if r.refusal.NotRun {
		assert.Equal(t, runs, 0)
	}
}

// TestOrderFaultMatrix injects each fault into an application server before an
// order with and without idempotency key, clears it afterwards, and retries the
// order with a key at the other host. It must run at most once, and a refusal
// marked "not run" must be correct.
func TestOrderFaultMatrix(t *testing.T) {
	f := startFleet(t, 10_000_000)
	server := f.Applications["orders-1"]
	// A request held by a silent server may run once the fault is cleared, so
	// runs are counted by request ID and checked again at the end.
	maxRuns := map[string]int{}
	for i, fault := range backendFaults {
		for _, keyed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s keyed %t", fault.name, keyed), func(t *testing.T) {
				key := ""
				if keyed {
					key = fmt.Sprintf("order-%d", i)
				}
				setFaults(f, "orders-1", fault.faults)
				first := placeOrder(t, f, "host-a", key)
				setFaults(f, "orders-1", faulter.Faults{})
				maxRuns[first.requestID] = 1
				if first.refusal != nil && first.refusal.NotRun {
					maxRuns[first.requestID] = 0
				}
				checkRuns(t, server, maxRuns)
				if !keyed {
					return
				}
				maxRuns[first.requestID] = 1 // the retry may run an order that did not run
				second := placeOrder(t, f, "host-b", key)
				assert.Assert(t, server.Runs()[key] <= 1)
				if first.status == http.StatusOK {
					assert.Equal(t, second.text, first.text)
				}
			})
		}
	}
	checkRuns(t, server, maxRuns)
}

// checkRuns checks that no request ran more often than allowed.
func checkRuns(t *testing.T, server *application.Server, maxRuns map[string]int) {
	t.Helper()
	runs := map[string]int{}
	for _, run := range server.Log() {
		runs[run.RequestID]++
	}
	for id, n := range maxRuns {
		assert.Assert(t, runs[id] <= n, "request %s ran %d times, at most %d allowed", id, runs[id], n)
	}
}

func placeOrder(t *testing.T, f *fleet.Fleet, host, key string) result {
	t.Helper()
	resp := post(t, f, host, "/orders/place", key, `{"Urn":1}`)
	r := result{status: resp.StatusCode, requestID: resp.Header.Get("X-Request-Id")}
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
