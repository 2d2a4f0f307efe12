// Package tracker tells a second host which streams are open here, so that it
// can end them if this host dies: resumed for a caller who repeats, else
// cancelled at the model engine and billed for what was generated. The records
// are a short-lived copy between two hosts; budgets never depend on them.
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
	// ringCapacity bounds the news that wait to be sent.
	ringCapacity = 8192
	// batchNews bounds the news of one call.
	batchNews = 512
	// sendTimeout bounds one call, in milliseconds.
	sendTimeout = clocker.Second
	// sweepInterval is how often open streams of gone hosts are looked for, in
	// milliseconds.
	sweepInterval = clocker.Second
	// sendTries bounds how many peers are asked to keep a record.
	sendTries = 2
)

var (
	untracked = metrics.NewCounter("cowsliphinge_streams_untracked_total")
	takenUp   = metrics.NewCounter("cowsliphinge_streams_taken_up_total")
	unbilled  = metrics.NewCounter("cowsliphinge_streams_taken_up_unbilled_total")
)

// Exchange reaches other routers.
type Exchange interface {
	TrackStreams(ctx context.Context, address string, q *messenger.TrackRequest) (*messenger.TrackReply, error)
}

// Biller records bills.
type Biller interface {
	Record(ctx context.Context, bill *messenger.Bill) error
}

// Canceller stops a stream at its model engine and returns the tokens that it
// generated, or false if the engine does not tell.
type Canceller interface {
	Cancel(address, requestID string) (promptTokens, outputTokens int64, ok bool)
}

// Config configures a Tracker.
type Config struct {
	Incarnation      string
	Host             string
	AvailabilityZone string
	Clock            *clocker.Clock
	// Peers returns the other routers as seen now.
	Peers func() []heartbeater.Peer
	// Replaced reports whether an incarnation's host is known to run a later one.
	Replaced  func(incarnation string) bool
	Exchange  Exchange
	Biller    Biller
	Canceller Canceller
}

// news is a stream that opened, or the request ID of one that ended.
type news struct {
	opened *messenger.OpenStream
	ended  string
}

// Tracker keeps records of open streams at a second host, and those of others
// here. Its methods may be called from many goroutines.
type Tracker struct {
	cfg    Config
	cancel context.CancelFunc
	duties errgroup.Group
	ring   *ringer.Ring[news]

	mu   sync.Mutex
	held records
}

// New returns a Tracker and starts its duties, which end with ctx or Close.
func New(ctx context.Context, cfg Config) *Tracker {
	ctx, cancel := context.WithCancel(ctx)
	t := &Tracker{cfg: cfg, cancel: cancel, ring: ringer.New[news]("open_streams", ringCapacity), held: records{}}
	t.duties.Go(func() error {
		t.tell(ctx)
		return nil
	})
	t.duties.Go(func() error {
		for cfg.Clock.Sleep(ctx, sweepInterval) == nil {
			t.Sweep(ctx)
		}
		return nil
	})
	return t
}

// Close ends the duties and passes the records of others on to another host.
func (t *Tracker) Close(ctx context.Context) error {
	t.cancel()
	_ = t.duties.Wait() // duties return no error
	t.mu.Lock()
	held := t.held
	t.held = records{}
	t.mu.Unlock()
	for origin, streams := range held {
		request := &messenger.TrackRequest{Incarnation: origin}
		for _, s := range streams {
			request.Opened = append(request.Opened, s.stream)
		}
		if t.send(ctx, request) == "" {
			untracked.Add(len(request.Opened))
		}
	}
	return nil
}

// Opened tells the second host of a stream.
func (t *Tracker) ReportOpened(stream *messenger.OpenStream) {
	if !t.ring.Offer(news{opened: stream}) {
		untracked.Inc()
	}
}

// Ended tells the second host that a stream is over.
func (t *Tracker) ReportEnded(requestID string) {
	t.ring.Offer(news{ended: requestID})
}

// Locate returns a stream of a host that may be gone, or nil.
func (t *Tracker) Locate(requestID string) *messenger.OpenStream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held.find(requestID)
}

// TrackStreams keeps open streams of another host.
func (t *Tracker) TrackStreams(_ context.Context, q *messenger.TrackRequest) (*messenger.TrackReply, error) {
	if q.Incarnation == "" || q.Incarnation == t.cfg.Incarnation {
		return nil, trace.BadParameter("Incarnation: must be that of another host")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held.merge(q)
	return &messenger.TrackReply{Count: int64(len(q.Opened) + len(q.Ended))}, nil
}

// Sweep takes up the streams of hosts that are gone.
func (t *Tracker) Sweep(ctx context.Context) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	due := t.held.due(now, standings(t.cfg.Peers(), t.cfg.Replaced))
	t.mu.Unlock()
	for _, s := range due {
		t.takeUp(ctx, s)
	}
	if len(due) > 0 {
		slog.Info("streams of a lost host taken up", "count", len(due))
	}
}

// takeUp cancels a stream and bills what was generated; what the engine does
// not tell is billed as its bound. A final bill of the origin goes before it.
func (t *Tracker) takeUp(ctx context.Context, s *messenger.OpenStream) {
	takenUp.Inc()
	prompt, output, ok := t.cfg.Canceller.Cancel(s.Address, s.RequestId)
	tokens := prompt + output
	if !ok {
		tokens = s.Bound
	}
	err := t.cfg.Biller.Record(ctx, &messenger.Bill{
		ClientAccount: s.ClientAccount,
		RequestId:     s.RequestId,
		Budget:        s.Budget,
		Service:       s.Service,
		Tokens:        min(tokens, s.Bound),
		PromptTokens:  prompt,
		OutputTokens:  output,
		FinishedAtMs:  int64(t.cfg.Clock.Now()),
		Incarnation:   t.cfg.Incarnation,
		Partial:       true,
	})
	if err != nil && !biller.IsErrNotCopied(err) {
		unbilled.Inc()
	}
}

// tell sends news to the second host, in batches.
func (t *Tracker) tell(ctx context.Context) {
	keeper := ""
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-t.ring.Items():
			keeper = t.sendBatch(ctx, t.batch(first), keeper)
		}
	}
}

func (t *Tracker) batch(first news) *messenger.TrackRequest {
	q := &messenger.TrackRequest{Incarnation: t.cfg.Incarnation}
	for n, more := first, true; more; {
		if n.opened != nil {
			q.Opened = append(q.Opened, n.opened)
		} else {
			q.Ended = append(q.Ended, n.ended)
		}
		if len(q.Opened)+len(q.Ended) >= batchNews {
			break
		}
		select {
		case n = <-t.ring.Items():
		default:
			more = false
		}
	}
	return q
}

// sendBatch sends to the present keeper, or chooses another one.
func (t *Tracker) sendBatch(ctx context.Context, q *messenger.TrackRequest, keeper string) string {
	if keeper != "" && t.sendTo(ctx, keeper, q) {
		return keeper
	}
	keeper = t.send(ctx, q)
	if keeper == "" {
		untracked.Add(len(q.Opened))
	}
	return keeper
}

func (t *Tracker) send(ctx context.Context, q *messenger.TrackRequest) string {
	candidates := biller.Successors(t.cfg.Peers(), t.cfg.Host, t.cfg.AvailabilityZone, func(string) bool { return false })
	for _, address := range candidates[:min(sendTries, len(candidates))] {
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
