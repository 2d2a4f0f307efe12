package runner

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
	"cowsliphinge/recorder"
	"cowsliphinge/storer"
	"cowsliphinge/versioner"
)

const (
	// archivePrefix begins the keys of the store objects that hold archived origins, an OriginReply each.
	archivePrefix = "software/streams-"
	// archiveSendInterval is the shortest interval at which a host tells the archiving one of its streams, in
	// milliseconds, and archiveCallsPerSecond bounds these calls of all hosts.
	archiveSendInterval   = 50 * clocker.Millis(1)
	archiveCallsPerSecond = 100
	// archiveWriteInterval is the interval at which the archiving host writes, in milliseconds. What began
	// since is lost if all hosts die.
	archiveWriteInterval = 250 * clocker.Millis(1)
	// archiveReadInterval is the time between two reads of the archive by a host, in milliseconds.
	archiveReadInterval = 5 * clocker.Second
	// archiveRank chooses the archiving host.
	archiveRank = 0
	// maxUnsentOrigins bounds the origins that wait for the archiving host.
	maxUnsentOrigins = 8192
)

var (
	archiveWrites       = metrics.NewCounter(`cowsliphinge_stream_archive_writes_total{outcome="written"}`)
	failedArchiveWrites = metrics.NewCounter(`cowsliphinge_stream_archive_writes_total{outcome="failed"}`)
)

// streamArchive keeps the origins of streams in the store while several software versions are in use, so
// that streams can be taken up after the death of all hosts. All hosts tell one of them, which writes. It is
// safe for concurrent use.
type streamArchive struct {
	clock *clocker.Clock
	log   *slog.Logger
	store Store
	host  string

	mu sync.Mutex
	// unsent are origins that the archiving host has to be told of.
	unsent  []recorder.Origin
	archive recorder.Archive

	// readMu is held during a read of the archive. lastRead is when the last one succeeded; 0 for never.
	readMu   sync.Mutex
	lastRead clocker.Millis
}

// archiveHost returns the exchange address of the archiving host, and whether that is this host.
func (o *streamOrigins) archiveHost() (address string, own bool) {
	addresses := map[string]string{o.archive.host: ""}
	hosts := []string{o.archive.host}
	for _, p := range o.peers() {
		addresses[p.Host] = p.ExchangeAddress
		hosts = append(hosts, p.Host)
	}
	host := recorder.Keepers(archiveRank, hosts, 1)[0]
	return addresses[host], host == o.archive.host
}

// toArchive takes origins that this host began, for the archiving host.
func (a *streamArchive) toArchive(origins []recorder.Origin) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unsent = append(a.unsent, origins...)
	a.unsent = a.unsent[max(len(a.unsent)-maxUnsentOrigins, 0):]
}

// add adds origins to what this host writes.
func (a *streamArchive) add(origins []recorder.Origin) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.archive.Add(origins)
}

// keepArchive tells the archiving host of the streams that this host began until ctx ends.
func (o *streamOrigins) keepArchive(ctx context.Context) {
	wait := clocker.Millis(rand.Int64N(int64(clocker.Second)))
	for o.clock.Sleep(ctx, wait) == nil {
		o.sendToArchive(ctx)
		wait = max(archiveSendInterval, clocker.Second*clocker.Millis(len(o.peers()))/archiveCallsPerSecond)
	}
}

// sendToArchive tells the archiving host of the streams that it was not told of.
func (o *streamOrigins) sendToArchive(ctx context.Context) {
	o.archive.mu.Lock()
	origins := o.archive.unsent
	o.archive.unsent = nil
	o.archive.mu.Unlock()
	if len(origins) == 0 {
		return
	}
	address, own := o.archiveHost()
	if own {
		o.archive.add(origins)
		return
	}
	ctx, cancel := o.clock.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	if _, err := o.exchange.ShareOrigins(ctx, address, &messenger.OriginRequest{Began: originBatches(origins)}); err != nil {
		originsFailed.Inc()
		o.archive.toArchive(origins)
	}
}

// writeArchive writes what was added until ctx ends.
func (o *streamOrigins) writeArchive(ctx context.Context) {
	for o.clock.Sleep(ctx, archiveWriteInterval) == nil {
		o.archive.mu.Lock()
		unwritten, loaded := o.archive.archive.Unwritten(), o.archive.archive.Loaded()
		o.archive.mu.Unlock()
		if unwritten && (loaded || o.readArchive(ctx)) {
			o.writePage(ctx)
		}
	}
}

// writePage writes the page in use.
func (o *streamOrigins) writePage(ctx context.Context) {
	a := o.archive
	a.mu.Lock()
	page, version, origins := a.archive.Next(o.lifetime(), o.clock.Now())
	a.mu.Unlock()
	value, err := proto.Marshal(&messenger.OriginReply{Known: originBatches(origins)})
	if err != nil {
		a.log.Error("origins of streams can't be encoded", "cause", err.Error())
		return
	}
	key := archiveKey(page)
	var written storer.Object
	if version == 0 {
		written, err = a.store.Create(ctx, key, value)
	} else {
		written, err = a.store.Update(ctx, key, version, value)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		failedArchiveWrites.Inc()
		a.log.Info("origins of streams can't be written to the store", "key", key, "cause", err.Error())
		a.archive.Lost()
		return
	}
	archiveWrites.Inc()
	a.archive.Written(page, written.Version, len(origins))
}

// findArchived returns the origin of a stream that the store has.
func (o *streamOrigins) findArchived(ctx context.Context, stream uint64) (string, bool) {
	a := o.archive
	if a.store == nil {
		return "", false
	}
	a.readMu.Lock()
	due := a.lastRead == 0 || o.clock.Now()-a.lastRead >= archiveReadInterval
	a.readMu.Unlock()
	if due {
		o.readArchive(ctx)
	}
	return o.find(stream)
}

// readArchive reads all pages and reports whether it could.
func (o *streamOrigins) readArchive(ctx context.Context) bool {
	a := o.archive
	ctx, cancel := o.clock.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	calledAt := o.clock.Now()
	a.readMu.Lock()
	defer a.readMu.Unlock()
	if a.lastRead > calledAt {
		return true // by another caller, meanwhile
	}
	var versions [recorder.ArchivePages]int64
	var known [recorder.ArchivePages][]*messenger.OriginBatch
	var group errgroup.Group
	for page := range recorder.ArchivePages {
		group.Go(func() error {
			object, err := a.store.Get(ctx, archiveKey(page))
			if storer.IsErrNotFound(err) {
				return nil
			}
			if err != nil {
				return err
			}
			versions[page] = object.Version
			message := &messenger.OriginReply{}
			if err := proto.Unmarshal(object.Value, message); err != nil {
				a.log.Error("archived origins of streams are not usable", "key", archiveKey(page), versioner.Attr(object.Version), "cause", err.Error())
				return nil
			}
			known[page] = message.Known
			return nil
		})
	}
	err := group.Wait()
	streams := 0
	for _, batches := range known {
		o.add(batches)
		for _, b := range batches {
			streams += len(b.Streams)
		}
	}
	if err != nil {
		a.log.Warn("archived origins of streams can't be read from the store", "cause", err.Error())
		return false
	}
	a.log.Info("archived origins of streams", "streams", streams)
	a.lastRead = o.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.archive.Loaded() {
		a.archive.Load(versions, a.lastRead)
	}
	return true
}

func archiveKey(page int) string { return fmt.Sprint(archivePrefix, page) }

// originBatches groups origins by software version.
func originBatches(origins []recorder.Origin) []*messenger.OriginBatch {
	var batches []*messenger.OriginBatch
	for _, origin := range origins {
		batches = addToBatch(batches, origin)
	}
	return batches
}
