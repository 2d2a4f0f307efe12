package runner

import (
	"context"
	"log/slog"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/chooser"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/recorder"
)

const (
	// minOriginLifetime is the shortest time for which the origin of a stream is kept, in
	// milliseconds. It is longer if streams may take longer.
	minOriginLifetime = clocker.Minute
	// originShareInterval is the interval at which other hosts are told of streams, in
	// milliseconds. A stream that breaks off sooner with its host is not known.
	originShareInterval = 50 * clocker.Millis(1)
	// originCallTimeout limits a call about origins, in milliseconds.
	originCallTimeout = 150 * clocker.Millis(1)
	// originRetryDelay is the time before hosts are asked again that may not have heard of a
	// stream yet, in milliseconds.
	originRetryDelay = 80 * clocker.Millis(1)
	// originKeepers is the number of hosts that are told of a stream, and askedKeepers of those
	// that are asked: one more, since the host that began it may rank among them.
	originKeepers = 2
	askedKeepers  = originKeepers + 1
)

var (
	originsShared  = metrics.NewCounter("cowsliphinge_stream_origins_shared_total")
	originsFailed  = metrics.NewCounter("cowsliphinge_stream_origins_not_shared_total")
	originsFound   = metrics.NewCounter(`cowsliphinge_stream_origin_lookups_total{result="found"}`)
	originsUnknown = metrics.NewCounter(`cowsliphinge_stream_origin_lookups_total{result="unknown"}`)
)

// originExchange calls other hosts.
type originExchange interface {
	ShareOrigins(ctx context.Context, address string, q *messenger.OriginRequest) (*messenger.OriginReply, error)
}

// streamOrigins knows which software version began each stream, also for other hosts, which ask it when
// a caller takes a stream up there. It is safe for concurrent use.
type streamOrigins struct {
	host     string
	clock    *clocker.Clock
	log      *slog.Logger
	exchange originExchange
	// peers returns the live hosts.
	peers func() []heartbeater.Peer
	// longestStream returns the longest timeout of a stream that may be taken up, and resumable
	// whether a service has such streams.
	longestStream func() clocker.Millis
	resumable     func(service string) bool

	// readRecord reads the record of the versions from the store and reports whether it could.
	readRecord func(ctx context.Context) bool

	mu       sync.Mutex
	recorder *recorder.Recorder
	versions *recorder.Versions

	// readMu is held during a read of the record for a take-up. lastRead is when the last one began,
	// and lastReadOK whether it succeeded.
	readMu     sync.Mutex
	lastRead   clocker.Millis
	lastReadOK bool
}

func newStreamOrigins(r *Runner) *streamOrigins {
	return &streamOrigins{
		host:     r.cfg.Settings.Host,
		clock:    r.cfg.Clock,
		log:      r.cfg.Log,
		exchange: r.exchange,
		peers:    r.livePeers,
		longestStream: func() clocker.Millis {
			if t := r.table.Load(); t != nil {
				return t.LongestStream()
			}
			return 0
		},
		resumable: func(service string) bool {
			t := r.table.Load()
			return t != nil && t.Resumable(service)
		},
		readRecord: r.readSoftwareRecord,
		recorder:   recorder.New(r.cfg.Clock.Now()),
		versions:   recorder.NewVersions(),
	}
}

// lifetime returns how long the origin of a stream matters, in milliseconds.
func (o *streamOrigins) lifetime() clocker.Millis {
	return max(minOriginLifetime, 2*o.longestStream())
}

// seen records that a server is known.
func (o *streamOrigins) seen(s chooser.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Seen(s.Service, s.Software, o.clock.Now())
}

// admits implements chooser.Config.Admits.
func (o *streamOrigins) admits(service, software string) bool {
	if !o.resumable(service) {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Admitted(service, software, o.clock.Now())
}

// admitsUnlisted implements chooser.Config.AdmitsUnlisted. No entry names the version, so that it has to be recorded
// from here.
func (o *streamOrigins) admitsUnlisted(service, software string) bool {
	o.mu.Lock()
	o.versions.Used(service, software, o.clock.Now())
	o.mu.Unlock()
	return o.admits(service, software)
}

// Began implements relayer.Origins.
func (o *streamOrigins) Began(id string, s chooser.Server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.versions.Used(s.Service, s.Software, o.clock.Now()) // no entry names that of an unlisted incarnation
	o.recorder.Began(recorder.Origin{Stream: recorder.StreamHash(id), Software: s.Software}, o.lifetime(), o.clock.Now())
}

// Origin implements relayer.Origins. A single version in use is the origin of any stream, but this host
// may not have heard of a new one: it was cut off, or stood still. So it counts only if the record in
// the store confirms it now, or, without the store, if a host does not know the stream that would have been told of
// it: such hosts are told of each stream once two versions are in use.
func (o *streamOrigins) Origin(ctx context.Context, id, service string) (string, bool) {
	if id == "" {
		if !o.confirmVersions(ctx) {
			return "", false
		}
		return o.only(service)
	}
	stream := recorder.StreamHash(id)
	if software, known := o.find(stream); known {
		return software, true
	}
	confirmed := o.confirmVersions(ctx)
	if software, known := o.only(service); known && confirmed {
		return software, true
	}
	neverTold := false
	for range 2 {
		software, known, keeperAnswered := o.ask(ctx, stream)
		if known {
			originsFound.Inc()
			return software, true
		}
		neverTold = neverTold || keeperAnswered
		if o.clock.Sleep(ctx, originRetryDelay) != nil {
			break
		}
	}
	if software, known := o.only(service); known && neverTold {
		return software, true
	}
	originsUnknown.Inc()
	return "", false
}

// confirmVersions reads the record of the versions, unless that was begun since the call, and reports
// whether it could be read.
func (o *streamOrigins) confirmVersions(ctx context.Context) bool {
	calledAt := o.clock.Now()
	o.readMu.Lock()
	defer o.readMu.Unlock()
	if o.lastRead >= calledAt {
		return o.lastReadOK
	}
	ctx, cancel := o.clock.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	o.lastRead = o.clock.Now()
	o.lastReadOK = o.readRecord(ctx)
	return o.lastReadOK
}

// only returns the only version that can have begun a stream of the service, and false if there are
// several, as far as this host knows.
func (o *streamOrigins) only(service string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.Only(service, o.lifetime(), o.clock.Now())
}

// find returns the origin of a stream that this host began or was told of.
func (o *streamOrigins) find(stream uint64) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.recorder.Find(stream)
}

// ask asks the hosts that may keep a stream for its origin; the first one that knows it decides. keeperAnswered
// is true if one of them answered that is told wherever the stream began.
func (o *streamOrigins) ask(ctx context.Context, stream uint64) (software string, known, keeperAnswered bool) {
	ctx, cancel := o.clock.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	type answer struct {
		address string
		reply   *messenger.OriginReply
	}
	addresses := o.keepers(stream, askedKeepers)
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() { // ends at the latest with ctx
			reply, err := o.exchange.ShareOrigins(ctx, address, &messenger.OriginRequest{Wanted: []uint64{stream}})
			if err != nil {
				reply = nil // it may be cut off or dead, and the others know the stream as well
			}
			answers <- answer{address, reply}
		}()
	}
	alwaysTold := o.alwaysTold(stream)
	for range addresses {
		a := <-answers
		keeperAnswered = keeperAnswered || a.reply != nil && slices.Contains(alwaysTold, a.address)
		o.add(a.reply.GetKnown())
		if software, known = o.find(stream); known {
			return software, true, true
		}
	}
	return "", false, keeperAnswered
}

// keepers returns the exchange addresses of the n live hosts that keep a stream, this one left out.
func (o *streamOrigins) keepers(stream uint64, n int) []string {
	addresses, hosts := o.liveHosts()
	return rankedAddresses(stream, addresses, hosts, n)
}

// alwaysTold returns the exchange addresses of the hosts that are told of a stream, or began it, wherever it
// began: those that rank first among all hosts. The next one is told only if one of these began it.
func (o *streamOrigins) alwaysTold(stream uint64) []string {
	addresses, hosts := o.liveHosts()
	return rankedAddresses(stream, addresses, append(hosts, o.host), originKeepers)
}

// liveHosts returns the names of the other live hosts, and their exchange addresses by name.
func (o *streamOrigins) liveHosts() (addresses map[string]string, hosts []string) {
	addresses = map[string]string{}
	for _, p := range o.peers() {
		addresses[p.Host] = p.ExchangeAddress
		hosts = append(hosts, p.Host)
	}
	return addresses, hosts
}

// rankedAddresses returns the addresses of the n hosts that rank first for a stream, as far as these have one.
func rankedAddresses(stream uint64, addresses map[string]string, hosts []string, n int) []string {
	var ranked []string
	for _, host := range recorder.Keepers(stream, hosts, n) {
		if address, ok := addresses[host]; ok {
			ranked = append(ranked, address)
		}
	}
	return ranked
}

// add adds origins that another host told of.
func (o *streamOrigins) add(batches []*messenger.OriginBatch) {
	lifetime := o.lifetime()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range batches {
		for _, stream := range b.Streams {
			o.recorder.Add(recorder.Origin{Stream: stream, Software: b.Software}, lifetime, o.clock.Now())
		}
	}
}

// ShareOrigins implements exchanger.OriginKeeper.
func (o *streamOrigins) ShareOrigins(_ context.Context, q *messenger.OriginRequest) (*messenger.OriginReply, error) {
	o.add(q.Began)
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := &messenger.OriginReply{}
	for _, stream := range q.Wanted {
		if software, known := o.recorder.Find(stream); known {
			reply.Known = append(reply.Known, &messenger.OriginBatch{Software: software, Streams: []uint64{stream}})
		}
	}
	return reply, nil
}

// share tells other hosts of the streams that this host began, while several versions are in use.
func (o *streamOrigins) share(ctx context.Context) {
	for o.clock.Sleep(ctx, originShareInterval) == nil {
		for address, batches := range o.pending() {
			go func() { // ends at the latest after originCallTimeout
				ctx, cancel := o.clock.WithTimeout(ctx, originCallTimeout)
				defer cancel()
				if _, err := o.exchange.ShareOrigins(ctx, address, &messenger.OriginRequest{Began: batches}); err != nil {
					originsFailed.Inc()
				}
			}()
		}
	}
}

// pending returns what other hosts have to be told, by their exchange addresses.
func (o *streamOrigins) pending() map[string][]*messenger.OriginBatch {
	lifetime := o.lifetime()
	o.mu.Lock()
	var origins []recorder.Origin
	if o.versions.Several(lifetime, o.clock.Now()) {
		origins = o.recorder.TakeOwn(lifetime, o.clock.Now())
	}
	o.mu.Unlock()
	originsShared.Add(len(origins))
	batches := map[string][]*messenger.OriginBatch{}
	for _, origin := range origins {
		for _, address := range o.keepers(origin.Stream, originKeepers) {
			batches[address] = addToBatch(batches[address], origin)
		}
	}
	return batches
}

func addToBatch(batches []*messenger.OriginBatch, o recorder.Origin) []*messenger.OriginBatch {
	for _, b := range batches {
		if b.Software == o.Software {
			b.Streams = append(b.Streams, o.Stream)
			return batches
		}
	}
	return append(batches, &messenger.OriginBatch{Software: o.Software, Streams: []uint64{o.Stream}})
}
