package spreader

import (
	"cmp"
	"hash/fnv"
	"slices"

	"cowsliphinge/heartbeater"
)

const (
	// watchersPerZone is how many hosts of an availability zone watch the head.
	watchersPerZone = 2
	// treeFanOut is how many hosts pull from one host of the same availability zone.
	treeFanOut = 4
)

// SourcesInput is the state that ChooseSources uses.
type SourcesInput struct {
	// Host and AvailabilityZone are those of this host.
	Host             string
	AvailabilityZone string
	// Version is the version in force at this host.
	Version int64
	// PlatformReachable reports whether this host's latest call to the platform
	// was answered.
	PlatformReachable bool
	Peers             []heartbeater.Peer
	// Round is the number of the pull round. It rotates the choice of sources.
	Round int64
	// ParentFailed reports that the latest pull from the parent failed.
	ParentFailed bool
}

// Sources are those from which a host gets new versions in one round.
type Sources struct {
	// Watcher is true if the host watches the head.
	Watcher bool
	// PullAddresses are the exchange addresses to pull from, in order.
	PullAddresses []string
}

// ChooseSources returns the sources of a host. The hosts of an availability zone
// are ordered by rendezvous hashing. The first ones watch the head; the others form
// a tree below them, and each pulls from its parent. If the latest pull from the
// parent failed, any earlier host in the order takes its place. A host also pulls
// from the peer that reports the highest version above its own, whatever the
// position of that peer. A watcher that has no other address to pull from pulls
// from a fallback peer.
func ChooseSources(in SourcesInput) Sources {
	order := rankZoneHosts(in)
	position := slices.IndexFunc(order, func(p heartbeater.Peer) bool { return p.Host == in.Host })
	sources := Sources{Watcher: position < watchersPerZone}
	if !sources.Watcher {
		sources.PullAddresses = append(sources.PullAddresses, parentAddress(in, order, position))
	}
	if address := highestVersionAddress(in); address != "" {
		sources.PullAddresses = append(sources.PullAddresses, address)
	}
	if sources.Watcher && len(sources.PullAddresses) == 0 {
		sources.PullAddresses = append(sources.PullAddresses, fallbackAddress(in)...)
	}
	return sources
}

// rankZoneHosts returns the available hosts of the own availability zone,
// including this host. Hosts that reach the platform come first.
func rankZoneHosts(in SourcesInput) []heartbeater.Peer {
	order := []heartbeater.Peer{{Host: in.Host, PlatformReachable: in.PlatformReachable}}
	for _, p := range in.Peers {
		if p.AvailabilityZone == in.AvailabilityZone && p.Host != in.Host && canServePulls(p) {
			order = append(order, p)
		}
	}
	slices.SortFunc(order, func(a, b heartbeater.Peer) int {
		if a.PlatformReachable != b.PlatformReachable {
			if a.PlatformReachable {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(rendezvousScore("watch", a.Host), rendezvousScore("watch", b.Host)), cmp.Compare(a.Host, b.Host))
	})
	return order
}

func canServePulls(p heartbeater.Peer) bool {
	return !p.Suspect && !p.Draining && p.ExchangeAddress != "" && p.LastHeard > 0
}

func parentAddress(in SourcesInput, order []heartbeater.Peer, position int) string {
	parent := (position - watchersPerZone) / treeFanOut
	if in.ParentFailed {
		parent = int(uint64(in.Round) % uint64(position))
	}
	return order[parent].ExchangeAddress
}

// highestVersionAddress returns the address of the peer that reports the highest
// version above the own one, or "" if there is none.
func highestVersionAddress(in SourcesInput) string {
	best := heartbeater.Peer{ConfigurationVersion: in.Version}
	for _, p := range in.Peers {
		if p.Suspect || p.ExchangeAddress == "" || p.ConfigurationVersion <= in.Version {
			continue
		}
		if best.Host == "" || preferredOver(in, p, best) {
			best = p
		}
	}
	return best.ExchangeAddress
}

func preferredOver(in SourcesInput, a, b heartbeater.Peer) bool {
	if a.ConfigurationVersion != b.ConfigurationVersion {
		return a.ConfigurationVersion > b.ConfigurationVersion
	}
	return rendezvousScore(in.Host, a.Host) < rendezvousScore(in.Host, b.Host)
}

// fallbackAddress returns the address of one peer outside the own availability
// zone, or inside it if there is none outside. The choice changes with the round.
func fallbackAddress(in SourcesInput) []string {
	var inside, outside []string
	for _, p := range in.Peers {
		switch {
		case !canServePulls(p) || p.Host == in.Host:
		case p.AvailabilityZone == in.AvailabilityZone:
			inside = append(inside, p.ExchangeAddress)
		default:
			outside = append(outside, p.ExchangeAddress)
		}
	}
	if len(outside) == 0 {
		outside = inside
	}
	if len(outside) == 0 {
		return nil
	}
	slices.Sort(outside)
	return []string{outside[mixBits(uint64(in.Round)^rendezvousScore("other", in.Host))%uint64(len(outside))]}
}

// rendezvousScore returns the rendezvous weight of a host for a purpose.
func rendezvousScore(purpose, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(purpose))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(host))
	return mixBits(h.Sum64())
}
