package allotter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HoldersPerZone is the number of holders of a shard in each availability zone.
const HoldersPerZone = 2

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
