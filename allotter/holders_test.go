package allotter

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// zoneOf returns hosts with the given capacities in thousandths of a core.
func zoneOf(capacities ...int64) []Candidate {
	var zone []Candidate
	for i, c := range capacities {
		zone = append(zone, Candidate{Host: fmt.Sprint("h", i), CapacityMilli: c})
	}
	return zone
}

// Load: a zone of two machines of 0.8 of a core, four of 0.48 and thirteen of 0.144, all of which send their
// requests for tokens to the holders. Guards against small machines as holders.
func TestLargeHostsAreHolders(t *testing.T) {
	capacities := []int64{144, 144, 480, 144, 800, 144, 144, 480, 144, 480, 144, 144, 800, 144, 144, 480, 144, 144, 144}
	for shard := range 100 {
		for _, host := range HoldersByCapacity(shard, zoneOf(capacities...)) {
			assert.Assert(t, host == "h4" || host == "h12", "shard %d: %s", shard, host)
		}
	}
	// With one of the two dead, the next class joins the other.
	capacities[4] = 144
	for shard := range 100 {
		for _, host := range HoldersByCapacity(shard, zoneOf(capacities...)) {
			assert.Assert(t, host != "h4" && capacities[map[string]int{"h2": 2, "h7": 7, "h9": 9, "h12": 12, "h15": 15}[host]] >= 480, "shard %d: %s", shard, host)
		}
	}
}

// Guards against a change of holders on fleets whose hosts are equal, or do not tell their capacity.
func TestEqualHostsAreHoldersAsBefore(t *testing.T) {
	for _, capacity := range []int64{0, 400} {
		zone := zoneOf(capacity, capacity, capacity, capacity, capacity)
		hosts := []string{"h0", "h1", "h2", "h3", "h4"}
		for shard := range 100 {
			assert.DeepEqual(t, HoldersByCapacity(shard, zone), Holders(shard, hosts))
		}
	}
	assert.DeepEqual(t, HoldersByCapacity(0, zoneOf(100)), []string{"h0"})
	assert.Equal(t, len(HoldersByCapacity(0, nil)), 0)
}
