package router_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/messenger"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/faulter"
	"cowsliphinge/standin/fleet"
	"cowsliphinge/streamer"
)

const keyedDraftRequest = `{"model":"draft-1","max_tokens":400,"stream":true,"messages":[{"role":"user","content":"in memory"}]}`

// TestStreamOfADeadHostIsResumed kills a host in the middle of a stream with an
// idempotency key. The caller retries at another host with the ID of its last
// event and receives the remaining events of the same run, billed once.
func TestStreamOfADeadHostIsResumed(t *testing.T) {
	f := startFleet(t, 100_000)
	for name := range f.Engines {
		setFaults(f, name, faulter.Faults{SlowMs: 50})
	}
	first := post(t, f, "host-a", "/v1/chat/completions", "draft-1", keyedDraftRequest)
	text, last := readEvents(t, first, 5)
	hasRecord := func() bool { return f.Routers()["host-b"].TracksStream(first.Header.Get("X-Request-Id")) }
	assert.NilError(t, f.Await(context.Background(), hasRecord))
	f.KillHost("host-a")
	for name := range f.Engines {
		setFaults(f, name, faulter.Faults{})
	}

	second := resumeStream(t, f, "host-b", "draft-1", last)
	assert.Equal(t, second.StatusCode, 200)
	resumed := readAnswer(t, second, -1, nil)
	assert.Assert(t, resumed.complete, "%+v", resumed.refusal)
	id := second.Header.Get("X-Request-Id")
	assert.Equal(t, id, first.Header.Get("X-Request-Id"))
	assert.Equal(t, resumed.usage.CompletionTokens, engine.OutputTokens(id, 400))
	fullText := strings.ReplaceAll(text+resumed.text, " ", "")
	assert.Equal(t, fullText, strings.ReplaceAll(engine.Answer(id, "in memory", resumed.usage.CompletionTokens), " ", ""))
	assert.Equal(t, f.Engines["engine-1"].Runs()[id]+f.Engines["engine-2"].Runs()[id], 1)
	sums, err := f.Querier("host-b").SumBills(context.Background(), &messenger.SumBillsRequest{ClientAccount: "mason"})
	assert.NilError(t, err)
	assert.Equal(t, sums.Sums[0].Requests, int64(1))
	assert.Equal(t, sums.Sums[0].Tokens, resumed.usage.Total())
}

// readEvents reads n events and returns their text and the number of the last
// event.
func readEvents(t *testing.T, resp *http.Response, n int) (string, int64) {
	t.Helper()
	assert.Equal(t, resp.StatusCode, 200)
	reader := streamer.NewReader(resp.Body)
	r := result{}
	var last int64
	for range n {
		event, err := reader.Next()
		assert.NilError(t, err)
		r.addChunk(t, event.Data)
		last = event.Number
	}
	return r.text, last
}

func resumeStream(t *testing.T, f *fleet.Fleet, host, idempotencyKey string, last int64) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+f.CallerAddress(host)+"/v1/chat/completions", strings.NewReader(keyedDraftRequest))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+masonKey)
	r.Header.Set("Idempotency-Key", idempotencyKey)
	r.Header.Set("Last-Event-ID", strconv.FormatInt(last, 10))
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}
