package heartbeater_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

func beat(host, incarnation string, sentAt clocker.Millis) *messenger.Beat {
	return &messenger.Beat{
		Host: host, Incarnation: incarnation, AvailabilityZone: "akl-a",
		ExchangeAddress: host + ":1", SentAtMs: int64(sentAt),
	}
}

func newMembers() *heartbeater.Members {
	return heartbeater.NewMembers(heartbeater.MembersConfig{Host: "self", AvailabilityZone: "akl-a", BeatInterval: clocker.Second})
}

func TestRepeatedBeatDoesNotRefreshPeer(t *testing.T) {
	m := newMembers()
	m.Receive(beat("a", "a-1-1", 1000), 1000)
	forwarding := beat("b", "b-1-1", 9000)
	forwarding.Heard = []*messenger.Beat{beat("a", "a-1-1", 1000), beat("c", "c-1-1", 2000)}
	forwarding.Heard[1].AgeMs = 7000
	m.Receive(forwarding, 9000)
	peers := m.Peers(9000)
	assert.Equal(t, peers[0].LastHeard, clocker.Millis(1000))
	assert.Assert(t, peers[0].Suspect && !peers[1].Suspect && peers[2].Suspect)
}

func TestPeersComeFromDeclarationsHostListAndBeats(t *testing.T) {
	m := newMembers()
	m.SetDeclared([]*messenger.Host{{Name: "self"}, {Name: "a", AvailabilityZone: "akl-a", ExchangeAddress: "a:1"}})
	m.SetListed([]storer.ListedHost{{Name: "a", Leaving: true}, {Name: "b", Address: "b:1"}})
	m.Receive(beat("c", "c-1-1", 5), 5)
	peers := m.Peers(5)
	assert.Equal(t, len(peers), 3)
	assert.Assert(t, peers[0].Draining && peers[0].Suspect)
	assert.Equal(t, peers[1].ExchangeAddress, "b:1")
	m.SetDeclared(nil)
	m.SetListed(nil)
	assert.Equal(t, len(m.Peers(9*clocker.Minute)), 3)
	assert.Equal(t, len(m.Peers(11*clocker.Minute)), 0)
}

func TestPeerIsSuspectAfterThreeFailedBeats(t *testing.T) {
	m := newMembers()
	m.Receive(beat("a", "a-1-1", 1000), 1000)
	for i := range 3 {
		assert.Assert(t, !m.Peers(2000)[0].Suspect, "suspect after %d failed beats", i)
		m.RecordFailure("a:1")
	}
	assert.Assert(t, m.Peers(2000)[0].Suspect)
	m.Receive(beat("a", "a-1-1", 2100), 2100)
	assert.Assert(t, !m.Peers(2100)[0].Suspect)
}

func TestMembersTargetsAndSampleAreBounded(t *testing.T) {
	m := newMembers()
	flood := beat("a", "a-1-1", 1)
	for i := range 10_000 {
		flood.Heard = append(flood.Heard, beat(fmt.Sprint("x", i), "x-1-1", 1))
	}
	m.Receive(flood, 1)
	assert.Equal(t, len(m.Peers(1)), heartbeater.MaxForwardedBeats+1)
	for i := range 10_000 {
		m.Receive(beat(fmt.Sprint("y", i), "y-1-1", 1), 1)
	}
	assert.Equal(t, len(m.Peers(1)), 4096)
	assert.Assert(t, len(m.Targets()) <= 3)
	assert.Equal(t, len(m.SampleBeats(1)), heartbeater.MaxForwardedBeats)
}

// fleetSim simulates a fleet of Members that exchange beats each second.
type fleetSim struct {
	now     clocker.Millis
	members []*heartbeater.Members
	names   []string
	index   map[string]int
	dead    map[int]bool
	bytes   int64
}

const (
	simZones = 10
	// simSeconds is the simulated time of one benchmark iteration.
	simSeconds = 10
)

func newFleetSim(n int) *fleetSim {
	s := &fleetSim{now: clocker.Hour, index: map[string]int{}, dead: map[int]bool{}}
	var declared []*messenger.Host
	zones := min(simZones, max(4, n/100))
	for i := range n {
		name := fmt.Sprintf("entry-host-%04d", i)
		s.names = append(s.names, name)
		s.index[s.address(i)] = i
		declared = append(declared, &messenger.Host{
			Name: name, AvailabilityZone: fmt.Sprintf("zone-%d", i%zones), ExchangeAddress: s.address(i),
		})
	}
	for i, h := range declared {
		m := heartbeater.NewMembers(heartbeater.MembersConfig{
			Host: h.Name, AvailabilityZone: h.AvailabilityZone, BeatInterval: clocker.Second, RandomSeed: uint64(i),
		})
		m.SetDeclared(declared)
		s.members = append(s.members, m)
	}
	return s
}

func (s *fleetSim) address(i int) string {
	return fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250)
}

func (s *fleetSim) beat(i int) *messenger.Beat {
	zones := min(simZones, max(4, len(s.names)/100))
	return &messenger.Beat{
		Host: s.names[i], Incarnation: s.names[i] + "-19a2b3c4d5e-0123abcd", AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
		ExchangeAddress: s.address(i), CallerAddress: s.address(i), ConfigurationVersion: 8800, PlatformReachable: true,
		SentAtMs: int64(s.now), InFlight: 60, HeldTokens: 400_000, Heard: s.members[i].SampleBeats(s.now),
	}
}

func (s *fleetSim) observerStride() int {
	return len(s.names)/11 | 1
}

// step advances the time by one second, in which each live host sends one round of beats.
func (s *fleetSim) step() {
	s.now += clocker.Second
	for i, m := range s.members {
		if s.dead[i] {
			continue
		}
		sent := s.beat(i)
		for _, address := range m.Targets() {
			to := s.index[address]
			s.bytes += int64(proto.Size(sent))
			if s.dead[to] {
				m.RecordFailure(address)
				continue
			}
			s.members[to].Receive(sent, s.now)
			reply := s.beat(to)
			s.bytes += int64(proto.Size(reply))
			m.Receive(reply, s.now)
		}
	}
}

// silences returns the sorted times since the last beat of each live host, as seen by about
// a dozen observers, separately for hosts of the observer's zone and others. It also counts
// live hosts that are suspect.
func (s *fleetSim) silences() (own, others []clocker.Millis, suspect int) {
	for i := 0; i < len(s.members); i += s.observerStride() {
		for _, p := range s.members[i].Peers(s.now) {
			if s.dead[s.index[p.ExchangeAddress]] {
				continue
			}
			if p.Suspect {
				suspect++
			}
			if p.AvailabilityZone == s.beat(i).AvailabilityZone {
				own = append(own, s.now-p.LastHeard)
			} else {
				others = append(others, s.now-p.LastHeard)
			}
		}
	}
	slices.Sort(own)
	slices.Sort(others)
	return own, others, suspect
}

// measureDetection stops the last host and returns the seconds until it is suspect for all
// sampled observers of its zone, and for those of other zones; 0 if that takes 600 s or more.
func (s *fleetSim) measureDetection() (zone, others int) {
	last := len(s.names) - 1
	s.dead[last] = true
	for second := 1; second < 600; second++ {
		s.step()
		zoneSuspects, othersSuspect := true, true
		for i := 0; i < last; i += s.observerStride() {
			peers := s.members[i].Peers(s.now)
			dead := peers[slices.IndexFunc(peers, func(p heartbeater.Peer) bool { return p.Host == s.names[last] })]
			if dead.AvailabilityZone == s.beat(i).AvailabilityZone {
				zoneSuspects = zoneSuspects && dead.Suspect
			} else {
				othersSuspect = othersSuspect && dead.Suspect
			}
		}
		if zoneSuspects && zone == 0 {
			zone = second
		}
		if othersSuspect {
			return zone, second
		}
	}
	return zone, 0
}

// BenchmarkFleet reports the cost of membership per host and how soon a failed host is
// suspect.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{9, 110, 1100} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := newFleetSim(n)
			for range 130 {
				s.step()
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			s.bytes = 0
			b.ResetTimer()
			for range b.N * simSeconds {
				s.step()
			}
			b.StopTimer()
			perHost := float64(b.Elapsed()/time.Microsecond) / float64(b.N*simSeconds*n)
			payload := float64(s.bytes) / float64(b.N*simSeconds*n)
			own, others, suspect := s.silences()
			zone, all := s.measureDetection()
			b.ReportMetric(payload, "payload-B/s/host")
			b.ReportMetric(perHost, "µs/s/host")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n*n), "B/known-host")
			b.ReportMetric(float64(suspect)/float64(len(own)+len(others))*100, "%false-suspicions")
			b.ReportMetric(float64(own[len(own)*99/100]), "ms-zone-p99")
			b.ReportMetric(float64(others[len(others)*99/100]), "ms-others-p99")
			b.ReportMetric(float64(zone), "s-detect-zone")
			b.ReportMetric(float64(all), "s-detect-others")
		})
	}
}

// Guards against: the state of a host depends on the order in which its beats arrive, or on
// duplicates.
func TestMembersDoNotDependOnBeatOrder(t *testing.T) {
	drawBeat := rapid.Custom(func(rt *rapid.T) *messenger.Beat {
		start := rapid.IntRange(1, 3).Draw(rt, "start")
		sentAt := rapid.IntRange(1, 4).Draw(rt, "sent at")
		b := beat("a", fmt.Sprintf("a-%x-0", start), clocker.Millis(sentAt))
		b.InFlight = int64(10*start + sentAt)
		return b
	})
	rapid.Check(t, func(rt *rapid.T) {
		beats := rapid.SliceOfN(drawBeat, 1, 6).Draw(rt, "beats")
		shuffled := rapid.Permutation(beats).Draw(rt, "shuffled")
		inOrder, outOfOrder := newMembers(), newMembers()
		for i := range beats {
			inOrder.Receive(beats[i], 100)
			outOfOrder.Receive(shuffled[i], 100)
			outOfOrder.Receive(shuffled[0], 100)
		}
		assert.DeepEqual(rt, inOrder.Peers(100), outOfOrder.Peers(100))
	})
}

// TestMain sets a fixed default seed for package rapid; -rapid.seed=N overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
