package reserver_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// FuzzTransfer sends arbitrary transfer requests to a reserver. Malformed requests must
// neither crash it nor be answered with an error or more tokens than it holds.
func FuzzTransfer(f *testing.F) {
	for _, r := range []*messenger.TransferRequest{
		{From: "x-1-1", Asks: []*messenger.TransferAsk{{Budget: "mason", Tokens: 100, Needed: 50}, {Budget: "none", Needed: -5, Rank: -3}}},
		{From: "x-1-1", Totals: []*messenger.TransferTotal{{Budget: "mason", Given: -7}, {Given: 1 << 62}}},
	} {
		seed, err := proto.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		request := &messenger.TransferRequest{}
		if proto.Unmarshal(content, request) != nil {
			return
		}
		fl := newFleet(&messenger.Policy{HeadroomMs: 1000, MaxShareOfRestMilli: 100, PatienceMs: 100}, 1, 1)
		n := fl.nodes[0]
		fl.topUp(t, n, "first", "mason", 1000)
		fl.run(clocker.Second)
		request.To = n.incarnation
		for range 2 {
			if _, err := n.reserver.Transfer(context.Background(), request); err != nil {
				t.Fatal(err)
			}
		}
		n.reserver.RunTasks(context.Background())
	})
}
