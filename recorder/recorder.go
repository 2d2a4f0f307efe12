// Package recorder records which software version of a backend server began each stream, and which
// versions of a service are in use. What two versions write does not fit together, so a stream may go
// on only at the version that began it. Package recorder is pure logic: it does no I/O, starts no
// goroutines and does not read the clock.
package recorder

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cowsliphinge/clocker"
)

// maxStreams bounds the recorded streams, in each of two generations.
const maxStreams = 32_768

// Origin tells which software version began a stream.
type Origin struct {
	// Stream is the hash of the ID of the request that brought the first event.
	Stream   uint64
	Software string
}

// StreamHash returns the hash of the ID of a request.
func StreamHash(requestID string) uint64 {
	return xxhash.Sum64String(requestID)
}

// Recorder holds the origins of streams that this host began or heard of. It is not safe for concurrent
// use.
type Recorder struct {
	// newer and older are two generations; the older one is dropped after lifetime, or when the
	// newer one is full.
	newer, older map[uint64]string
	newerSince   clocker.Millis
	// own are the origins of streams that this host began and has not passed on, the earliest
	// first.
	own []ownOrigin
}

type ownOrigin struct {
	Origin
	at clocker.Millis
}

// New returns an empty Recorder.
func New(now clocker.Millis) *Recorder {
	return &Recorder{newer: map[uint64]string{}, newerSince: now}
}

// Began records a stream that this host began. lifetime is how long it may go on, in milliseconds.
func (r *Recorder) Began(o Origin, lifetime, now clocker.Millis) {
	r.Add(o, lifetime, now)
	r.expireOwn(lifetime, now)
	if len(r.own) < maxStreams {
		r.own = append(r.own, ownOrigin{Origin: o, at: now})
	}
}

// Add records a stream of which this host heard. The first origin of a stream stays.
func (r *Recorder) Add(o Origin, lifetime, now clocker.Millis) {
	if now-r.newerSince > lifetime || len(r.newer) >= maxStreams {
		r.older, r.newer, r.newerSince = r.newer, map[uint64]string{}, now
	}
	if _, known := r.Find(o.Stream); !known {
		r.newer[o.Stream] = o.Software
	}
}

// Find returns the software version that began a stream, and false if that is not known.
func (r *Recorder) Find(stream uint64) (string, bool) {
	if software, known := r.newer[stream]; known {
		return software, true
	}
	software, known := r.older[stream]
	return software, known
}

// TakeOwn returns the origins that other hosts were not told of, which it forgets.
func (r *Recorder) TakeOwn(lifetime, now clocker.Millis) []Origin {
	r.expireOwn(lifetime, now)
	origins := make([]Origin, 0, len(r.own))
	for _, o := range r.own {
		origins = append(origins, o.Origin)
	}
	r.own = nil
	return origins
}

func (r *Recorder) expireOwn(lifetime, now clocker.Millis) {
	i := slices.IndexFunc(r.own, func(o ownOrigin) bool { return now-o.at <= lifetime })
	if i < 0 {
		i = len(r.own)
	}
	r.own = r.own[i:]
}

// Keepers returns the n hosts with the highest ranks for a stream, the highest first. All hosts that
// know the same hosts choose the same ones.
func Keepers(stream uint64, hosts []string, n int) []string {
	rank := func(host string) uint64 {
		h := xxhash.New()
		_, _ = h.WriteString(host) // never fails
		var b [8]byte
		for i := range b {
			b[i] = byte(stream >> (8 * i))
		}
		_, _ = h.Write(b[:])
		return h.Sum64()
	}
	ranks := make(map[string]uint64, len(hosts))
	for _, host := range hosts {
		ranks[host] = rank(host)
	}
	keepers := slices.SortedFunc(maps.Keys(ranks), func(a, b string) int {
		if ranks[a] > ranks[b] {
			return -1
		}
		return 1
	})
	return keepers[:min(n, len(keepers))]
}
