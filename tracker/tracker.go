// Package tracker reports the open streams of this host to a second host. If this host
// fails, the second host resumes a stream for a caller that retries there. Otherwise it cancels
// the stream at the model engine and bills its prompt and output tokens. The records are a short-lived copy between two hosts; budgets never depend on them.
package tracker

import (
	"context"
	"log/slog"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"cowsliphinge/biller"
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
	"cowsliphinge/ringer"
)

const (
	// updateQueueSize is how many updates may wait to be sent.
	updateQueueSize = 8192
	// maxBatchUpdates bounds the updates that sendUpdates puts in one call. Close puts all
	// records of an incarnation in one call.
	maxBatchUpdates = 512
	// sendTimeout is the timeout of one call, in milliseconds.
	sendTimeout = clocker.Second
	// sweepInterval is the time between two sweeps for open streams of silent or replaced
	// incarnations, in milliseconds.
	sweepInterval = clocker.Second
	// maxSendAttempts bounds how many peers sendToNextPeer tries.
	maxSendAttempts = 2
)

var (
	untracked        = metrics.NewCounter("cowsliphinge_streams_untracked_total")
	cancelledStreams = metrics.NewCounter("cowsliphinge_streams_taken_up_total")
	unbilledStreams  = metrics.NewCounter("cowsliphinge_streams_taken_up_unbilled_total")
)

// Exchange sends updates to other routers.
type Exchange interface {
	TrackStreams(ctx context.Context, address string, q *messenger.TrackRequest) (*messenger.TrackReply, error)
}

// Biller records bills.
type Biller interface {
	Record(ctx context.Context, bill *messenger.Bill) error
}

// Canceller cancels a stream at its model engine and returns its token counts, or false if
// the engine does not report them.
type Canceller interface {
	Cancel(address, requestID string) (promptTokens, outputTokens int64, ok bool)
}

// Config configures a Tracker.
type Config struct {
	Incarnation      string
	Host             string
	AvailabilityZone string
	Clock            *clocker.Clock
	// Peers returns the other routers as currently known.
	Peers func() []heartbeater.Peer
	// Replaced reports whether the incarnation is the one that was current just before the
	// present one of its host, see heartbeater.Members.
	Replaced  func(incarnation string) bool
	Exchange  Exchange
	Biller    Biller
	Canceller Canceller
}

// update is a stream that opened, or the request ID of one that ended.
type update struct {
	opened *messenger.OpenStream
	ended  string
}

// Tracker sends records of the own open streams to a second host, and holds such records of
// other hosts. It is safe for concurrent use.
type Tracker struct {
	cfg     Config
	cancel  context.CancelFunc
	tasks   errgroup.Group
	updates *ringer.DroppingQueue[update]

	mu      sync.Mutex
	records recordSet
}

// New returns a Tracker and starts its background tasks, which end with ctx or Close.
func New(ctx context.Context, cfg Config) *Tracker {
	ctx, cancel := context.WithCancel(ctx)
	t := &Tracker{cfg: cfg, cancel: cancel, updates: ringer.New[update]("open_streams", updateQueueSize), records: recordSet{}}
	t.tasks.Go(func() error {
		t.sendUpdates(ctx)
		return nil
	})
	t.tasks.Go(func() error {
		for cfg.Clock.Sleep(ctx, sweepInterval) == nil {
			t.Sweep(ctx)
		}
		return nil
	})
	return t
}

// Close stops the background tasks and sends the records of other hosts to the next peer.
func (t *Tracker) Close(ctx context.Context) error {
	t.cancel()
	_ = t.tasks.Wait() // the tasks return no error
	t.mu.Lock()
	records := t.records
	t.records = recordSet{}
	t.mu.Unlock()
	for incarnation, streams := range records {
		request := &messenger.TrackRequest{Incarnation: incarnation}
		for _, s := range streams {
			request.Opened = append(request.Opened, s.stream)
		}
		if t.sendToNextPeer(ctx, request) == "" {
			untracked.Add(len(request.Opened))
		}
	}
	return nil
}

// ReportOpened queues a report of an open stream to the second host.
func (t *Tracker) ReportOpened(stream *messenger.OpenStream) {
	if !t.updates.TryEnqueue(update{opened: stream}) {
		untracked.Inc()
	}
}

// ReportEnded queues a report of the end of a stream to the second host.
func (t *Tracker) ReportEnded(requestID string) {
	t.updates.TryEnqueue(update{ended: requestID})
}

// Locate returns the open stream that another host, which may have failed, has reported for
// the request, or nil.
func (t *Tracker) Locate(requestID string) *messenger.OpenStream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.find(requestID)
}

// TrackStreams records the open and ended streams that another host reports.
func (t *Tracker) TrackStreams(_ context.Context, q *messenger.TrackRequest) (*messenger.TrackReply, error) {
	if q.Incarnation == "" || q.Incarnation == t.cfg.Incarnation {
		return nil, trace.BadParameter("Incarnation: must be that of another host")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records.merge(q)
	return &messenger.TrackReply{Count: int64(len(q.Opened) + len(q.Ended))}, nil
}

// Sweep cancels and bills the streams of silent or replaced incarnations that are due.
func (t *Tracker) Sweep(ctx context.Context) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	due := t.records.removeDue(now, stateLookup(t.cfg.Peers(), t.cfg.Replaced))
	t.mu.Unlock()
	for _, s := range due {
		t.cancelAndBill(ctx, s)
	}
	if len(due) > 0 {
		slog.Info("streams of a lost host taken up", "count", len(due))
	}
}

// cancelAndBill cancels a stream at its model engine. It bills the prompt and output tokens,
// at most the bound of the stream; if the engine does not report them, it bills the bound. The
// bill is partial: a final bill of the incarnation that served the stream takes precedence.
func (t *Tracker) cancelAndBill(ctx context.Context, stream *messenger.OpenStream) {
	cancelledStreams.Inc()
	prompt, output, ok := t.cfg.Canceller.Cancel(stream.Address, stream.RequestId)
	tokens := prompt + output
	if !ok {
		tokens = stream.Bound
	}
	err := t.cfg.Biller.Record(ctx, &messenger.Bill{
		ClientAccount: stream.ClientAccount,
		RequestId:     stream.RequestId,
		Budget:        stream.Budget,
		Service:       stream.Service,
		Tokens:        min(tokens, stream.Bound),
		PromptTokens:  prompt,
		OutputTokens:  output,
		FinishedAtMs:  int64(t.cfg.Clock.Now()),
		Incarnation:   t.cfg.Incarnation,
		Partial:       true,
	})
	if err != nil && !biller.IsErrNotCopied(err) {
		unbilledStreams.Inc()
	}
}

// sendUpdates sends the queued updates to the second host in batches until ctx ends.
func (t *Tracker) sendUpdates(ctx context.Context) {
	secondHostAddress := ""
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-t.updates.Items():
			secondHostAddress = t.sendBatch(ctx, t.collectBatch(first), secondHostAddress)
		}
	}
}

// collectBatch returns the first update with those that are queued, up to maxBatchUpdates.
func (t *Tracker) collectBatch(first update) *messenger.TrackRequest {
	q := &messenger.TrackRequest{Incarnation: t.cfg.Incarnation}
	for next, more := first, true; more; {
		if next.opened != nil {
			q.Opened = append(q.Opened, next.opened)
		} else {
			q.Ended = append(q.Ended, next.ended)
		}
		if len(q.Opened)+len(q.Ended) >= maxBatchUpdates {
			break
		}
		select {
		case next = <-t.updates.Items():
		default:
			more = false
		}
	}
	return q
}

// sendBatch sends the batch to the current second host, or to the next peer if there is none
// or this fails. It returns the address of the host that has the batch, "" for none.
func (t *Tracker) sendBatch(ctx context.Context, q *messenger.TrackRequest, secondHostAddress string) string {
	if secondHostAddress != "" && t.sendTo(ctx, secondHostAddress, q) {
		return secondHostAddress
	}
	secondHostAddress = t.sendToNextPeer(ctx, q)
	if secondHostAddress == "" {
		untracked.Add(len(q.Opened))
	}
	return secondHostAddress
}

// sendToNextPeer sends the request to the first peer that accepts it and returns its
// address, or "" if none of maxSendAttempts peers does.
func (t *Tracker) sendToNextPeer(ctx context.Context, q *messenger.TrackRequest) string {
	candidates := biller.RankPeers(t.cfg.Peers(), t.cfg.Host, t.cfg.AvailabilityZone, func(string) bool { return false })
	for _, address := range candidates[:min(maxSendAttempts, len(candidates))] {
		if t.sendTo(ctx, address, q) {
			return address
		}
	}
	return ""
}

func (t *Tracker) sendTo(ctx context.Context, address string, q *messenger.TrackRequest) bool {
	ctx, cancel := t.cfg.Clock.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := t.cfg.Exchange.TrackStreams(ctx, address, q)
	return err == nil
}
