package reserver_test

import (
	"context"
	"testing"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/standin/platform"
)

func BenchmarkReserveSettle(b *testing.B) {
	clock := clocker.NewWall()
	r := newReserver(b, clock, platform.New(clock), "h1")
	_, err := r.TopUp(context.Background(), &messenger.TopUpRequest{OperationId: "op", Budget: "mason", Tokens: 1 << 50})
	if err != nil {
		b.Fatal(err)
	}
	deadline := clock.Now() + clocker.Hour
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		reservation, err := r.Reserve(context.Background(), "mason", 1000, 0, deadline)
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(reservation, 400)
	}
}
