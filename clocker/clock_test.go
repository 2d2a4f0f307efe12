package clocker_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

func ExampleClock() {
	clock := clocker.NewManual(10 * clocker.Second)
	clock.Advance(250)
	fmt.Println(clock.Now())
	// Output: 10250
}

func TestSleepWakesWhenDue(t *testing.T) {
	clock := clocker.NewManual(0)
	woke := make(chan error, 1)
	go func() { woke <- clock.Sleep(context.Background(), 100) }()
	for clock.WaiterCount() == 0 {
		runtime.Gosched()
	}
	clock.Advance(99)
	assert.Equal(t, clock.WaiterCount(), 1)
	clock.Advance(1)
	assert.NilError(t, <-woke)
}

func TestSleepEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, clocker.NewManual(0).Sleep(ctx, 100), context.Canceled)
	assert.ErrorIs(t, clocker.NewWall().Sleep(ctx, clocker.Hour), context.Canceled)
}
