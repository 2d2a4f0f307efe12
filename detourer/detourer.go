// Package detourer decides whether this host's own path to the backend servers is cut, and through
// which other host connections go meanwhile. It does no I/O and is not safe for concurrent use.
//
// A server that fails shows nothing about the path. After a failed connection the path is verified:
// it is cut if several servers accept no direct connection, and one of them accepts one through another
// host. Servers that are all down are not reached through others either, so they are no cut.
package detourer

import (
	"maps"
	"math/rand/v2"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
)

const (
	// quietTime is how long before a lost exchange a new direct connection shows that the path
	// works, in milliseconds.
	quietTime = 300 * clocker.Millis(1)
	// minVerifyInterval is the time between two verifications, in milliseconds. It doubles up to
	// maxVerifyInterval while no server can be reached either way.
	minVerifyInterval = 500 * clocker.Millis(1)
	maxVerifyInterval = 2 * clocker.Second
	// probeInterval is the time between two probes of a path that is cut, in milliseconds.
	probeInterval = 400 * clocker.Millis(1)
	// probesToRestore is the number of successful probes in a row after which the path is used
	// again. One may pass a path that loses most of its packets.
	probesToRestore = 2
	// ownZoneHosts is the number of hosts of the own zone that are tried before those of others.
	ownZoneHosts = 2
	// moreHosts is the number of further hosts. A host that is cut off itself says so at once.
	moreHosts = 6
	// minVerifiers is the number of hosts that a connection of a verification tries at least.
	minVerifiers = 3
	// hostPause is how long a host is not chosen after it failed, in milliseconds.
	hostPause = clocker.Second
)

// Verification is what a verification of the path showed.
type Verification struct {
	// Direct is true if a server accepted a direct connection, and Detour if one accepted a
	// connection through another host.
	Direct, Detour bool
}

// Detourer tracks the path of this host to the backend servers.
type Detourer struct {
	cut bool
	// connectedAt is when a server last accepted a direct connection.
	connectedAt    clocker.Millis
	nextVerifyAt   clocker.Millis
	verifyInterval clocker.Millis
	nextProbeAt    clocker.Millis
	goodProbes     int
	// pausedUntil is when a host may be chosen again, by exchange address.
	pausedUntil map[string]clocker.Millis
	random      *rand.Rand
}

// New returns a Detourer for a path that works.
func New(seed uint64) *Detourer {
	return &Detourer{verifyInterval: minVerifyInterval, pausedUntil: map[string]clocker.Millis{}, random: rand.New(rand.NewPCG(seed, 0))}
}

// Cut reports whether connections have to go through other hosts.
func (d *Detourer) Cut() bool {
	return d.cut
}

// Connected records that a server accepted a direct connection.
func (d *Detourer) Connected(now clocker.Millis) {
	d.connectedAt = now
	d.verifyInterval = minVerifyInterval
}

// VerifyAfterDial reports whether a direct connection that was begun at startedAt and failed is a
// reason to verify the path now. If so, the caller verifies it and calls Verified.
func (d *Detourer) VerifyAfterDial(startedAt, now clocker.Millis) bool {
	if d.cut || d.connectedAt >= startedAt && d.connectedAt > 0 || now < d.nextVerifyAt {
		return false
	}
	d.nextVerifyAt = now + d.verifyInterval
	return true
}

// VerifyAfterLoss is the same for an exchange that was lost on a direct connection.
func (d *Detourer) VerifyAfterLoss(now clocker.Millis) bool {
	return d.VerifyAfterDial(now-quietTime, now)
}

// Verified records a verification that ended at now. It reports whether the path has become cut.
func (d *Detourer) Verified(v Verification, now clocker.Millis) bool {
	switch {
	case v.Direct:
		d.Connected(now)
		return false
	case !v.Detour:
		d.verifyInterval = min(2*d.verifyInterval, maxVerifyInterval)
		d.nextVerifyAt = now + d.verifyInterval
		return false
	case d.cut:
		return false
	}
	d.cut = true
	d.goodProbes = 0
	d.nextProbeAt = now + probeInterval
	return true
}

// ProbeDue reports whether a path that is cut has to be probed now. If so, the caller probes it and
// calls Probed.
func (d *Detourer) ProbeDue(now clocker.Millis) bool {
	if !d.cut || now < d.nextProbeAt {
		return false
	}
	d.nextProbeAt = now + probeInterval
	return true
}

// Probed records whether a server accepted a direct connection for a probe. It reports whether the
// path is restored.
func (d *Detourer) Probed(connected bool, now clocker.Millis) bool {
	if !d.cut {
		return false
	}
	if !connected {
		d.goodProbes = 0
		return false
	}
	d.goodProbes++
	if d.goodProbes < probesToRestore {
		return false
	}
	d.cut = false
	d.Connected(now)
	return true
}

// HostFailed records that a host offered no tunnel, or did not reach a server that another one reached.
func (d *Detourer) HostFailed(exchangeAddress string, now clocker.Millis) {
	d.pausedUntil[exchangeAddress] = now + hostPause
}

// Hosts returns hosts to go through, in the order in which they are tried: ownZoneHosts of the zone,
// one of each other zone, since the whole zone may be cut off, and some more. Of two random ones that
// with fewer requests in flight comes first.
func (d *Detourer) Hosts(peers []heartbeater.Peer, zone string, now clocker.Millis) []heartbeater.Peer {
	byZone := d.usableHosts(peers, now)
	hosts := choose(nil, byZone[zone], ownZoneHosts, d.lessLoaded)
	hosts = d.oneOfEachOtherZone(hosts, byZone, zone, d.lessLoaded)
	return choose(hosts, others(byZone, hosts), moreHosts, d.lessLoaded)
}

// Verifiers returns random hosts for a verification of the path, in the order in which they are tried: one
// of each other zone, since the hosts of the own zone may be cut off alike, and others up to minVerifiers.
// Their load does not count, since hosts that are cut off refuse requests at once and have few in flight.
func (d *Detourer) Verifiers(peers []heartbeater.Peer, zone string, now clocker.Millis) []heartbeater.Peer {
	byZone := d.usableHosts(peers, now)
	hosts := d.oneOfEachOtherZone(nil, byZone, zone, d.anyOf)
	return choose(hosts, others(byZone, hosts), minVerifiers-len(hosts), d.anyOf)
}

// oneOfEachOtherZone appends a host of each zone other than zone, in random order.
func (d *Detourer) oneOfEachOtherZone(chosen []heartbeater.Peer, byZone map[string][]heartbeater.Peer, zone string, pick pickFunc) []heartbeater.Peer {
	var hosts []heartbeater.Peer
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		if z != zone {
			hosts = choose(hosts, byZone[z], 1, pick)
		}
	}
	d.random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return append(chosen, hosts...)
}

// others returns the hosts that are not chosen yet.
func others(byZone map[string][]heartbeater.Peer, chosen []heartbeater.Peer) []heartbeater.Peer {
	var rest []heartbeater.Peer
	for _, z := range slices.Sorted(maps.Keys(byZone)) {
		for _, p := range byZone[z] {
			if !slices.ContainsFunc(chosen, func(h heartbeater.Peer) bool { return h.Host == p.Host }) {
				rest = append(rest, p)
			}
		}
	}
	return rest
}

// usableHosts returns the hosts that may be asked for tunnels, by zone.
func (d *Detourer) usableHosts(peers []heartbeater.Peer, now clocker.Millis) map[string][]heartbeater.Peer {
	byZone := map[string][]heartbeater.Peer{}
	for _, p := range peers {
		if Usable(p) && now >= d.pausedUntil[p.ExchangeAddress] {
			byZone[p.AvailabilityZone] = append(byZone[p.AvailabilityZone], p)
		}
	}
	return byZone
}

// Usable reports whether a host may be asked for tunnels.
func Usable(p heartbeater.Peer) bool {
	return p.Incarnation != "" && p.ExchangeAddress != "" && !p.Suspect && !p.Draining && !p.BackendsCut
}

// pickFunc returns the index of one of the hosts, which are not empty.
type pickFunc func(hosts []heartbeater.Peer) int

// anyOf picks a random host.
func (d *Detourer) anyOf(hosts []heartbeater.Peer) int {
	return d.random.IntN(len(hosts))
}

// lessLoaded picks that of two random hosts that has fewer requests in flight.
func (d *Detourer) lessLoaded(hosts []heartbeater.Peer) int {
	i, j := d.random.IntN(len(hosts)), d.random.IntN(len(hosts))
	if hosts[j].InFlight < hosts[i].InFlight {
		return j
	}
	return i
}

// choose appends up to n of the hosts, which it reorders.
func choose(chosen, hosts []heartbeater.Peer, n int, pick pickFunc) []heartbeater.Peer {
	for range min(n, len(hosts)) {
		i := pick(hosts)
		chosen = append(chosen, hosts[i])
		hosts[i] = hosts[len(hosts)-1]
		hosts = hosts[:len(hosts)-1]
	}
	return chosen
}
