package ringer_test

import (
	"fmt"

	"cowsliphinge/ringer"
)

func ExampleDroppingQueue() {
	queue := ringer.New[int]("example", 1)
	fmt.Println(queue.TryEnqueue(1), queue.TryEnqueue(2), <-queue.Items())
	// Output: true false 1
}
