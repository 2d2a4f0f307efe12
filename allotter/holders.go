package allotter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// HoldersPerZone is the number of holders of a shard in each availability zone.
	HoldersPerZone = 2
	// minHolderCapacity is the share of the HoldersPerZone-th largest capacity of a zone that a host
	// needs to be a holder. A holder answers the requests for tokens of its whole zone: machines of
	// 0.144 of a core took 30 to 100 ms for an answer, one of 0.8 took 5 ms.
	minHolderCapacity = 0.75
)

// Candidate is a host that may hold budgets.
type Candidate struct {
	Host string
	// CapacityMilli is the processor capacity of its machine in thousandths of a core, 0 if unknown.
	CapacityMilli int64
}

// HoldersByCapacity returns the holders of a shard among the hosts of an availability zone: those
// that Holders returns for the hosts with a large capacity. Where capacities are equal or unknown, all
// hosts qualify.
func HoldersByCapacity(shard int, zone []Candidate) []string {
	capacities := make([]int64, 0, len(zone))
	for _, c := range zone {
		capacities = append(capacities, c.CapacityMilli)
	}
	slices.SortFunc(capacities, func(x, y int64) int { return cmp.Compare(y, x) })
	threshold := int64(0)
	if len(capacities) >= HoldersPerZone {
		threshold = int64(minHolderCapacity * float64(capacities[HoldersPerZone-1]))
	}
	var hosts []string
	for _, c := range zone {
		if c.CapacityMilli >= threshold {
			hosts = append(hosts, c.Host)
		}
	}
	return Holders(shard, hosts)
}

// Holders returns the holders of a shard among the hosts of an availability zone,
// by rendezvous hashing: when a host is added or removed, only the shards that it
// holds move.
func Holders(shard int, hosts []string) []string {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(x, y string) int {
		return cmp.Or(cmp.Compare(rendezvousScore(shard, y), rendezvousScore(shard, x)), cmp.Compare(x, y))
	})
	return sorted[:min(HoldersPerZone, len(sorted))]
}

// rendezvousScore mixes the hash of a host with the shard number.
func rendezvousScore(shard int, host string) uint64 {
	x := xxhash.Sum64String(host) ^ (uint64(shard)+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
