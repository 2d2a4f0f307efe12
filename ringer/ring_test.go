package ringer_test

import (
	"fmt"

	"cowsliphinge/ringer"
)

func ExampleRing() {
	ring := ringer.New[int]("example", 1)
	fmt.Println(ring.Offer(1), ring.Offer(2), <-ring.Items())
	// Output: true false 1
}
