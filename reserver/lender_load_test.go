package reserver_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// meteredExchange counts the transfer requests that each host gets.
type meteredExchange struct {
	*node
	received map[string]int
}

// Transfer implements reserver.Exchange.
func (m meteredExchange) Transfer(ctx context.Context, address string, request *messenger.TransferRequest) (*messenger.TransferReply, error) {
	m.received[address]++
	return m.node.Transfer(ctx, address, request)
}

// Guards against hosts that can't do their other work, such as following the configuration, for the
// requests of others for tokens that nobody has: all hosts of a fleet lack tokens of several budgets while
// the store is out of reach, and each asks those that hold the most. At 8, 90 and 198 hosts.
func TestRequestsForTokensDoNotOverloadTheirLenders(t *testing.T) {
	t.Parallel()
	const (
		budgets = 10
		seconds = 8
		// maxPerSecond is what a host of a fifth of a core answers in a tenth of its time, at about
		// 0.4 ms a request.
		maxPerSecond = 50
	)
	for _, size := range []struct{ zones, perZone int }{{4, 2}, {5, 18}, {6, 33}} {
		t.Run(fmt.Sprintf("%d hosts", size.zones*size.perZone), func(t *testing.T) {
			t.Parallel()
			f := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 20, PatienceMs: 150}, size.zones, size.perZone)
			for b := range budgets {
				f.topUp(t, f.nodes[0], fmt.Sprint("op", b), fmt.Sprint("account-", b), 1000)
			}
			f.run(3 * clocker.Second)
			received := map[string]int{}
			for _, n := range f.nodes {
				n.partition = 1
				n.reserver.SetHoldersFirst()
				n.reserver.SetExchange(meteredExchange{node: n, received: received})
			}
			for range seconds {
				for part := range 10 {
					f.clock.Advance(clocker.Second / 10)
					for i, n := range f.nodes {
						if (i+part)%2 == 0 { // five requests a second at each host
							_ = n.reserve(fmt.Sprint("account-", (i+part)%budgets), 900)
						}
					}
				}
			}
			most := 0
			for _, count := range received {
				most = max(most, count)
			}
			t.Logf("the busiest host got %d requests a second", most/seconds)
			assert.Check(t, most/seconds <= maxPerSecond)
		})
	}
}
