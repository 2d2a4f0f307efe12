package ringer_test

import (
	"fmt"

	"cowsliphinge/ringer"
)

func ExampleRing() {
	ring := ringer.New[int]("example", 1)
	fmt.Println(ring.TryEnqueue(1), ring.TryEnqueue(2), <-ring.Items())
	// Output: true false 1
}
