package differ_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/differ"
	"cowsliphinge/messenger"
)

func ExampleDiff() {
	before := &messenger.Declarations{Services: []*messenger.Service{{Name: "orders"}, {Name: "proofs"}}}
	after := &messenger.Declarations{
		Services: []*messenger.Service{{Name: "drafts", Kind: messenger.ServiceKind_LANGUAGE}, {Name: "orders", QueueLimit: 9}},
		Policy:   &messenger.Policy{PatienceMs: 100},
	}
	for _, c := range differ.Diff(before, after) {
		fmt.Println(c.Kind, c.Path, c.Before, c.After)
	}
	// Output:
	// Changed $.Policy.PatienceMs 0 100
	// Added $.Services[drafts]  {"Name":"drafts","Kind":"LANGUAGE"}
	// Changed $.Services[orders].QueueLimit 0 9
	// Removed $.Services[proofs] {"Name":"proofs"}
}

func TestDiffIgnoresOrder(t *testing.T) {
	a := &messenger.Declarations{Hosts: []*messenger.Host{{Name: "a"}, {Name: "b"}}}
	b := &messenger.Declarations{Hosts: []*messenger.Host{{Name: "b"}, {Name: "a"}}}
	assert.Equal(t, len(differ.Diff(a, b)), 0)
	b.Hosts[0].AvailabilityZone = "akl-a"
	assert.Equal(t, len(differ.Diff(a, b)), 1)
}
