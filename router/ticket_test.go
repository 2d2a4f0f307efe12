package router_test

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/messenger"
	"cowsliphinge/standin/fleet"
	"cowsliphinge/standin/platform"
)

// TestTicketRunsOnceWhilePlatformIsUnreachable places an order with a ticket as
// idempotency key during a platform outage, and retries it at another host.
func TestTicketRunsOnceWhilePlatformIsUnreachable(t *testing.T) {
	f := startFleet(t, 100_000)
	assert.Equal(t, placeOrder(t, f, "host-a", "").status, 200)
	// After the first order the host extends its budget ahead of demand, in the
	// next run of its background task. A host that holds no tokens correctly
	// refuses requests during an outage.
	awaitTokens(t, f, "host-a")
	f.Platform.SetFaults(platform.Faults{Outage: true})

	resp := post(t, f, "host-a", "/v1/tickets", "", "")
	assert.Equal(t, resp.StatusCode, 200)
	var ticket struct{ IdempotencyKey string }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&ticket))

	first := placeOrder(t, f, "host-a", ticket.IdempotencyKey)
	assert.Equal(t, first.status, 200, "%+v", first.refusal)
	second := post(t, f, "host-b", "/orders/place", ticket.IdempotencyKey, `{"Urn":1}`)
	body, err := io.ReadAll(second.Body)
	assert.NilError(t, err)
	assert.Equal(t, second.StatusCode, http.StatusOK, "%s", body)
	assert.Equal(t, string(body), first.text)
	assert.Equal(t, f.Applications["orders-1"].Runs()[ticket.IdempotencyKey], 1)

	f.KillHost("host-a")
	lost := placeOrder(t, f, "host-b", ticket.IdempotencyKey)
	assert.Assert(t, lost.refusal != nil && !lost.refusal.NotRun)
	assert.Equal(t, f.Applications["orders-1"].Runs()[ticket.IdempotencyKey], 1)
}

// awaitTokens waits until a host holds enough tokens for a few orders.
func awaitTokens(t *testing.T, f *fleet.Fleet, host string) {
	t.Helper()
	const fewOrders = 15
	assert.NilError(t, f.Await(t.Context(), func() bool {
		status, err := f.Querier(host).GetStatus(t.Context(), &messenger.GetStatusRequest{})
		assert.NilError(t, err)
		return slices.ContainsFunc(status.Hosts, func(h *messenger.HostStatus) bool {
			return h.Name == host && h.HeldTokens >= fewOrders
		})
	}))
}
