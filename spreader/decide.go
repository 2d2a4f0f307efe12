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
	// fanOut is how many hosts learn from one host of the same availability zone.
	fanOut = 4
)

// View is what a decision on sources depends on.
type View struct {
	// Host and AvailabilityZone are those of the deciding host.
	Host             string
	AvailabilityZone string
	// Version in force at the deciding host.
	Version int64
	// PlatformReachable tells whether its latest call to the platform was answered.
	PlatformReachable bool
	Peers             []heartbeater.Peer
	// Round counts the decisions, so that choices rotate.
	Round int64
	// ParentFailed tells that the latest pull from the parent got no answer.
	ParentFailed bool
}

// Plan is how a host learns of new versions in this round.
type Plan struct {
	// Watcher is true for the hosts that watch the head.
	Watcher bool
	// Pull lists exchange addresses to ask, in order.
	PullAddresses []string
}

// Decide returns the plan of a host. The hosts of an availability zone are
// ordered by rendezvous; the first ones watch the head, and each other host
// pulls from the one that stands before it in a tree. Peers that tell a higher
// version are asked whatever their place is.
func NewPlan(v View) Plan {
	order := zoneOrder(v)
	position := slices.IndexFunc(order, func(p heartbeater.Peer) bool { return p.Host == v.Host })
	plan := Plan{Watcher: position < watchersPerZone}
	if !plan.Watcher {
		plan.PullAddresses = append(plan.PullAddresses, parentAddress(v, order, position))
	}
	if ahead := furthestAhead(v); ahead != "" {
		plan.PullAddresses = append(plan.PullAddresses, ahead)
	}
	if plan.Watcher && len(plan.PullAddresses) == 0 {
		plan.PullAddresses = append(plan.PullAddresses, otherAddress(v)...)
	}
	return plan
}

// zoneOrder returns the live hosts of the own availability zone, this one
// included; those that reach the platform come first.
func zoneOrder(v View) []heartbeater.Peer {
	order := []heartbeater.Peer{{Host: v.Host, PlatformReachable: v.PlatformReachable}}
	for _, p := range v.Peers {
		if p.AvailabilityZone == v.AvailabilityZone && p.Host != v.Host && usable(p) {
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
		return cmp.Or(cmp.Compare(score("watch", a.Host), score("watch", b.Host)), cmp.Compare(a.Host, b.Host))
	})
	return order
}

func usable(p heartbeater.Peer) bool {
	return !p.Suspect && !p.Draining && p.ExchangeAddress != "" && p.LastHeard > 0
}

func parentAddress(v View, order []heartbeater.Peer, position int) string {
	parent := (position - watchersPerZone) / fanOut
	if v.ParentFailed {
		parent = int(uint64(v.Round) % uint64(position))
	}
	return order[parent].ExchangeAddress
}

// furthestAhead returns a peer that tells the highest version above the own one.
func furthestAhead(v View) string {
	best := heartbeater.Peer{ConfigurationVersion: v.Version}
	for _, p := range v.Peers {
		if p.Suspect || p.ExchangeAddress == "" || p.ConfigurationVersion <= v.Version {
			continue
		}
		if best.Host == "" || aheadOf(v, p, best) {
			best = p
		}
	}
	return best.ExchangeAddress
}

func aheadOf(v View, a, b heartbeater.Peer) bool {
	if a.ConfigurationVersion != b.ConfigurationVersion {
		return a.ConfigurationVersion > b.ConfigurationVersion
	}
	return score(v.Host, a.Host) < score(v.Host, b.Host)
}

// otherAddress returns one peer outside the own availability zone, a different
// one each round, or one of the own zone if there is no other.
func otherAddress(v View) []string {
	var inside, outside []string
	for _, p := range v.Peers {
		switch {
		case !usable(p) || p.Host == v.Host:
		case p.AvailabilityZone == v.AvailabilityZone:
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
	return []string{outside[mix(uint64(v.Round)^score("other", v.Host))%uint64(len(outside))]}
}

// score is the rendezvous weight of a host under a purpose.
func score(purpose, host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(purpose))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(host))
	return mix(h.Sum64())
}
