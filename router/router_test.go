package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/dispatcher"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/application"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/fleet"
	"cowsliphinge/streamer"
)

const masonKey = "key-of-the-mason"

func declarations() *messenger.Declarations {
	d := &messenger.Declarations{
		Deployment: "test",
		ClientAccounts: []*messenger.ClientAccount{
			{Name: "mason", KeySha256: indexer.HashKey(masonKey), Budget: "mason"},
		},
		Services: []*messenger.Service{
			{Name: "drafts", Kind: messenger.ServiceKind_LANGUAGE, Idempotent: true, ProgressTimeoutMs: 300},
			{Name: "orders", Kind: messenger.ServiceKind_APPLICATION, TokensPerCall: 5, ProgressTimeoutMs: 300},
		},
		Models: []*messenger.Model{{Name: "draft-1", Version: "1", SizeMb: 10}},
		BackendServers: []*messenger.BackendServer{
			{Name: "engine-1", Address: "127.0.0.1:1", AvailabilityZone: "a", Service: "drafts", Models: []string{"draft-1"}},
			{Name: "engine-2", Address: "127.0.0.1:2", AvailabilityZone: "b", Service: "drafts", Models: []string{"draft-1"}},
			{Name: "orders-1", Address: "127.0.0.1:3", AvailabilityZone: "a", Service: "orders"},
		},
		Hosts: []*messenger.Host{
			{Name: "host-a", AvailabilityZone: "a"},
			{Name: "host-b", AvailabilityZone: "b"},
		},
		Policy: &messenger.Policy{BalancerDelayMs: 1},
	}
	for _, name := range otherAccounts {
		d.ClientAccounts = append(d.ClientAccounts, &messenger.ClientAccount{Name: name, KeySha256: indexer.HashKey("key of " + name), Budget: name})
	}
	return d
}

// otherAccounts are further client accounts, each with its own budget.
var otherAccounts = []string{"chapel", "urns", "stone", "tiles", "granite", "marble", "slate", "basalt"}

// startFleet starts a fleet of two hosts and tops up the budget mason by the
// given tokens.
func startFleet(t *testing.T, tokens int64) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(fleet.Config{
		Declarations: declarations(),
		Clock:        clocker.NewWall(),
		Log:          slog.New(slog.NewTextHandler(io.Discard, nil)),
		Engine:       engine.Config{DecodeMsPerToken: 1},
		Application:  application.Config{},
	})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	ctx := context.Background()
	assert.NilError(t, f.StartHost(ctx, "host-a"))
	assert.NilError(t, f.StartHost(ctx, "host-b"))
	assert.NilError(t, f.Publish(ctx, "host-a"))
	assert.NilError(t, f.AwaitReady(ctx))
	_, err = f.Commander("host-a").TopUp(ctx, &messenger.TopUpRequest{OperationId: "first", Budget: "mason", Tokens: tokens})
	assert.NilError(t, err)
	return f
}

func post(t *testing.T, f *fleet.Fleet, host, path, idempotencyKey, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+f.CallerAddress(host)+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+masonKey)
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// readStream reads a stream to its end and returns the number of events with
// content, and the usage.
func readStream(t *testing.T, body io.Reader) (int64, dispatcher.Usage) {
	t.Helper()
	reader := streamer.NewReader(body)
	var content int64
	var usage dispatcher.Usage
	for {
		event, err := reader.Next()
		assert.NilError(t, err)
		assert.Equal(t, string(event.Name), "", string(event.Data))
		if event.Done() {
			return content, usage
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
			Usage   *dispatcher.Usage
		}
		assert.NilError(t, json.Unmarshal(event.Data, &chunk))
		if len(chunk.Choices) > 0 && chunk.Choices[0].Delta.Content != "" {
			content++
		}
		if chunk.Usage != nil {
			usage = *chunk.Usage
		}
	}
}

const draftRequest = `{"model":"draft-1","max_tokens":20,"stream":true,"messages":[{"role":"user","content":"In loving memory of"}]}`

func TestStreamIsCompleteAndBilledOnce(t *testing.T) {
	f := startFleet(t, 10000)
	resp := post(t, f, "host-a", "/v1/chat/completions", "", draftRequest)
	assert.Equal(t, resp.StatusCode, 200)
	content, usage := readStream(t, resp.Body)
	assert.Equal(t, content, usage.CompletionTokens)
	assert.Assert(t, content > 0)

	assert.Assert(t, f.DrainHost(context.Background(), "host-a"))
	ctx := context.Background()
	sums, err := f.Querier("host-b").SumBills(ctx, &messenger.SumBillsRequest{ClientAccount: "mason"})
	assert.NilError(t, err)
	assert.Equal(t, len(sums.Sums), 1)
	assert.Equal(t, sums.Sums[0].Tokens, usage.Total())
	budget, err := f.Querier("host-b").GetBudget(ctx, &messenger.GetBudgetRequest{Budget: "mason"})
	assert.NilError(t, err)
	assert.Equal(t, budget.Charged, usage.Total())
}

func TestNonStreamedAnswerIsComplete(t *testing.T) {
	f := startFleet(t, 10000)
	resp := post(t, f, "host-b", "/v1/chat/completions", "", strings.Replace(draftRequest, `"stream":true`, `"stream":false`, 1))
	assert.Equal(t, resp.StatusCode, 200)
	var body struct {
		Choices []struct{ Message dispatcher.Message }
		Usage   dispatcher.Usage
	}
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&body))
	assert.Assert(t, body.Choices[0].Message.Content != "")
	assert.Assert(t, body.Usage.CompletionTokens > 0)
}

func TestKeyedOrderRunsOnceAcrossHosts(t *testing.T) {
	f := startFleet(t, 10000)
	first := post(t, f, "host-a", "/orders/place", "order-1", `{"Urn":1}`)
	assert.Equal(t, first.StatusCode, 200)
	want, err := io.ReadAll(first.Body)
	assert.NilError(t, err)
	second := post(t, f, "host-b", "/orders/place", "order-1", `{"Urn":1}`)
	got, err := io.ReadAll(second.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(want))
	assert.Equal(t, second.Header.Get("Idempotent-Replayed"), "true")
	other := post(t, f, "host-b", "/orders/place", "order-1", `{"Urn":2}`)
	assert.Equal(t, other.StatusCode, 422)
	assert.Equal(t, f.Applications["orders-1"].Runs()["order-1"], 1)
}

func TestExhaustedBudgetIsRefusedAsNotRun(t *testing.T) {
	f := startFleet(t, 50)
	resp := post(t, f, "host-a", "/v1/chat/completions", "", draftRequest)
	assert.Equal(t, resp.StatusCode, 402)
	var refusal dispatcher.Refusal
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&refusal))
	assert.Equal(t, refusal.Code, dispatcher.CodeBudgetExhausted)
	assert.Assert(t, refusal.NotRun)
	assert.Equal(t, len(f.Engines["engine-1"].Runs())+len(f.Engines["engine-2"].Runs()), 0)
}

func TestBadRequestsNameTheField(t *testing.T) {
	f := startFleet(t, 50)
	for body, want := range map[string]string{
		`{`:                                   "body:",
		`{"model":3}`:                         "model:",
		`{"model":"draft-1"}`:                 "messages:",
		`{"model":"none","messages":[{}]}`:    "no service serves model none",
		`{"model":"a","messages":[{}],"n":2}`: "n:",
	} {
		resp := post(t, f, "host-a", "/v1/chat/completions", "", body)
		content, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Contains(content, []byte(want)), "%s: %s", body, content)
	}
}

// TestRetryNeedsNoBudget retries an order that has run, after its budget is
// spent. A refusal because of the exhausted budget would wrongly report "not
// run".
func TestRetryNeedsNoBudget(t *testing.T) {
	f := startFleet(t, 5)
	first := placeOrder(t, f, "host-a", "order-1")
	assert.Equal(t, first.status, 200)
	second := placeOrder(t, f, "host-b", "order-1")
	assert.Equal(t, second.status, 200)
	assert.Equal(t, second.text, first.text)
	other := placeOrder(t, f, "host-b", "order-2")
	assert.Assert(t, other.refusal != nil && other.refusal.NotRun)
	assert.Equal(t, f.Applications["orders-1"].Runs()["order-2"], 0)
}
