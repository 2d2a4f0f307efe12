package matcher

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := New(Declaration{Routes: []*Route{
		{Name: "short", Host: "Shop.example", PathPrefix: "/a/"},
		{Name: "long", Host: "shop.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "other.example", PathPrefix: "/a/b/c/"},
	}})
	for path, want := range map[string]string{"/a/x": "short", "/a/b/": "long", "/a/b/c/d": "long", "/a": "", "/ab/": ""} {
		route := table.Route("shop.EXAMPLE:80", path)
		if want == "" {
			assert.Assert(t, route == nil, path)
			continue
		}
		assert.Equal(t, route.Name, want, path)
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	r := &Route{Splits: []Split{{"blue", 90}, {"green", 10}, {"off", 0}, {"wrong", -5}}}
	counts := map[string]int{}
	for n := range 1000 {
		counts[r.Service(uint64(n))]++
	}
	assert.DeepEqual(t, counts, map[string]int{"blue": 900, "green": 100})
	assert.Equal(t, (&Route{}).Service(7), "")
}

func TestOnlySafeAndResumableRequestsAreRepeatable(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Safe}).Repeatable())
	assert.Assert(t, (&Route{Kind: Stream, Resumable: true}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Stream}).Repeatable())
	assert.Assert(t, !(&Route{Kind: Unsafe, Resumable: true}).Repeatable())
}

func ExampleTable_Account() {
	table := New(Declaration{Accounts: []*Account{{Name: "masons", Keys: []string{"k1", "k2"}}}})
	fmt.Println(table.Account("k2").Name, table.Account("k3") == nil)
	// Output: masons true
}

func TestValidateListsAllFindingsWithTheirPlace(t *testing.T) {
	d := Declaration{Services: []*Service{{Name: "s"}}, Routes: []*Route{
		{Name: "good", PathPrefix: "/", Splits: []Split{{Service: "s"}}},
		{Name: "bad", PathPrefix: "/a", Splits: []Split{{Service: "s"}, {Service: "t"}}},
	}}
	assert.DeepEqual(t, d.Validate(), []string{
		"version is 0, not positive",
		`route 1 (bad): path prefix is "/a", not enclosed in slashes`,
		`route 1 (bad): service "t" is not declared`,
	})
}
