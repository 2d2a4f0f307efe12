package reserver_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// FuzzTransfer answers what a peer asks, and takes in what it says to have given. What
// is not well formed is no reason to end, nor to give more than is here.
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
