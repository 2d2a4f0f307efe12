package allotter

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// HoldersPerZone is how many hosts of an availability zone hold the budgets of a
// shard.
const HoldersPerZone = 2

// Holders returns the hosts of an availability zone that hold the budgets of a
// shard, by rendezvous hashing: when a host comes or goes, only the shards
// that it holds move.
func Holders(shard int, hosts []string) []string {
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(x, y string) int {
		return cmp.Or(cmp.Compare(score(shard, y), score(shard, x)), cmp.Compare(x, y))
	})
	return ranked[:min(HoldersPerZone, len(ranked))]
}

// score mixes the hash of a host with the shard's number.
func score(shard int, host string) uint64 {
	x := xxhash.Sum64String(host) ^ (uint64(shard)+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
