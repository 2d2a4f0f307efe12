package router_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/loader"
	"cowsliphinge/messenger"
)

// TestSingleHostServesUnderLoad puts load on a host that has no peer to hold
// copies of its bills. Writing the bills must not use up the rate of platform
// calls that its budgets need.
func TestSingleHostServesUnderLoad(t *testing.T) {
	f := startFleet(t, 10_000_000)
	assert.Assert(t, f.DrainHost(context.Background(), "host-b"))
	var accounts []loader.Account
	for _, name := range otherAccounts {
		_, err := f.Commander("host-a").TopUp(context.Background(), &messenger.TopUpRequest{OperationId: name, Budget: name, Tokens: 10_000_000})
		assert.NilError(t, err)
		accounts = append(accounts, loader.Account{Name: name, Key: "key of " + name, Budget: name})
	}
	report, err := loader.Run(context.Background(), loader.Config{
		Clock: clocker.NewWall(),
		Plan: loader.Plan{
			Name: "lone", DurationMs: 4 * clocker.Second, RequestsPerSecond: 60, Arrivals: loader.Poisson, Seed: 1,
			Callers:  []string{f.CallerAddress("host-a")},
			Accounts: accounts,
			Mix:      []loader.Kind{{Service: "drafts", Model: "draft-1", MaxTokens: 20, Stream: true, PromptBytes: 50}},
		},
	})
	assert.NilError(t, err)
	t.Logf("%+v, first token p50 %.0f ms, p95 %.0f ms", f.Platform.Counts(), report.FirstToken.P50, report.FirstToken.P95)
	assert.Equal(t, len(report.Codes), 0, "%v", report.Codes)
}
