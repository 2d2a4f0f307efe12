package shedder

import (
	"container/heap"
	"fmt"
	"iter"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
)

// modelKind is a kind of request.
type modelKind struct {
	name     string
	rank     int
	deadline clocker.Millis
	holdMs   float64
	share    float64
}

// The deadlines are those for the start of a request.
var modelKinds = []modelKind{
	{name: "chat", rank: 1, deadline: 800, holdMs: 900, share: 0.5},
	{name: "draft", rank: 4, deadline: 1500, holdMs: 600, share: 0.3},
	{name: "batch", rank: 8, deadline: 4000, holdMs: 1500, share: 0.2},
}

// modelLoad is what a modelFleet is put under.
type modelLoad struct {
	hosts, servers, slots int
	// queue is the number of requests that a server lets wait, and fifo is true if it starts them in the order of arrival
	// instead of by rank.
	queue int
	fifo  bool
	// usual is the usual load relative to what all servers can do. burst multiplies it from burstFrom on for
	// burstFor, or that of the first of eight accounts if greedy is true.
	usual, burst float64
	burstFrom    clocker.Millis
	burstFor     clocker.Millis
	greedy       bool
}

type modelRequest struct {
	kind      *modelKind
	account   int
	arrivedAt clocker.Millis
	// startBy is the deadline of the caller, the same in all attempts.
	startBy clocker.Millis
	host    *modelHost
	// attempts counts the attempts of the caller.
	attempts int
	sentAt   clocker.Millis
	direct   bool
	gone     bool
}

type modelServer struct {
	running int
	waiting []*modelRequest
}

type modelHost struct {
	shedder    *Shedder
	inFlight   []int
	sentSince  []int
	reports    []modelReport
	rejectsAt  []int
	rejectedAt []clocker.Millis
	mean       float64
}

type modelReport struct {
	at              clocker.Millis
	running, queued int
}

type modelEvent struct {
	at  clocker.Millis
	seq int
	do  func(now clocker.Millis)
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// modelFleet is hosts before the servers of one service. Callers return once or twice when they are refused, if the time
// that they are told is at most a third of what they have left.
type modelFleet struct {
	modelLoad
	shed    bool
	rng     *rand.Rand
	servers []*modelServer
	fleet   []*modelHost
	events  modelEvents
	seq     int

	arrived, inTime                  map[string]int
	rejections, refused, refusedRoom int
	expired, attempts                int
}

const (
	modelReportLag  = 20 // way of a request or a response, in milliseconds
	modelAccounts   = 8
	modelAttempts   = 3 // of a host for one attempt of a caller
	modelRetryAfter = 250
	// modelRejectionAge is the same as in chooser.
	modelRejectionAge = 5 * clocker.Second
)

func newModelFleet(l modelLoad, shed bool, seed uint64) *modelFleet {
	f := &modelFleet{modelLoad: l, shed: shed, rng: rand.New(rand.NewPCG(seed, 3)), arrived: map[string]int{}, inTime: map[string]int{}}
	for range l.servers {
		f.servers = append(f.servers, &modelServer{})
	}
	for range l.hosts {
		h := &modelHost{shedder: New(), inFlight: make([]int, l.servers), sentSince: make([]int, l.servers), reports: make([]modelReport, l.servers), rejectsAt: make([]int, l.servers), rejectedAt: make([]clocker.Millis, l.servers)}
		for i := range h.reports {
			h.reports[i].at = -1 << 40
		}
		f.fleet = append(f.fleet, h)
	}
	return f
}

func (f *modelFleet) at(at clocker.Millis, do func(now clocker.Millis)) {
	f.seq++
	heap.Push(&f.events, modelEvent{at: at, seq: f.seq, do: do})
}

// run plays the load until all requests have ended.
func (f *modelFleet) run() {
	const duration = 15 * clocker.Second
	meanHold := 0.0
	for _, k := range modelKinds {
		meanHold += k.share * k.holdMs
	}
	perMilli := f.usual * float64(len(f.servers)*f.slots) / meanHold
	for t := 0.0; t < float64(duration); {
		inBurst := clocker.Millis(t) >= f.burstFrom && clocker.Millis(t) < f.burstFrom+f.burstFor
		factor := 1.0
		switch {
		case inBurst && f.greedy:
			factor = 1 + (f.burst-1)/modelAccounts
		case inBurst:
			factor = f.burst
		}
		t += f.rng.ExpFloat64() / (perMilli * factor)
		account := f.rng.IntN(modelAccounts)
		if inBurst && f.greedy {
			account = max(0, int((f.burst+modelAccounts-1)*f.rng.Float64()-f.burst+1))
		}
		f.at(clocker.Millis(t), func(now clocker.Millis) { f.arrive(account, now) })
	}
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(modelEvent)
		e.do(e.at)
	}
}

func (f *modelFleet) arrive(account int, now clocker.Millis) {
	x := f.rng.Float64()
	kind := &modelKinds[0]
	for i := range modelKinds {
		if kind = &modelKinds[i]; x < kind.share {
			break
		}
		x -= kind.share
	}
	f.arrived[kind.name]++
	f.arrived[accountName(account)]++
	f.submit(&modelRequest{kind: kind, account: account, arrivedAt: now, startBy: now + kind.deadline}, now)
}

func accountName(account int) string {
	return fmt.Sprint("account ", account)
}

// submit is an attempt of a caller at a random host.
func (f *modelFleet) submit(r *modelRequest, now clocker.Millis) {
	r.host = f.fleet[f.rng.IntN(len(f.fleet))]
	r.attempts++
	f.send(r, nil, now)
}

// send is an attempt of a host.
func (f *modelFleet) send(r *modelRequest, avoid []int, now clocker.Millis) {
	h := r.host
	if f.shed {
		if v := h.shedder.Decide(Request{Account: accountName(r.account), Rank: r.kind.rank, Ordered: !f.fifo, TimeLeft: r.startBy - now}, h.view(f, avoid, now)); v.Reason != Sent {
			f.refused++
			if slices.ContainsFunc(f.servers, func(s *modelServer) bool { return s.running < f.slots }) {
				f.refusedRoom++
			}
			f.comeBack(r, float64(v.RoomIn)+modelRetryAfter*(0.5+f.rng.Float64()), now)
			return
		}
	}
	best, bestCost, bestRoom := -1, math.Inf(1), false
	for i := range f.servers {
		if slices.Contains(avoid, i) {
			continue
		}
		load := max(h.mean, float64(h.inFlight[i]))
		fresh := now-h.reports[i].at <= 1000
		if fresh {
			load = float64(max(h.inFlight[i], h.reports[i].running+h.reports[i].queued+h.sentSince[i]))
		}
		if cost := load + f.rng.Float64(); cost < bestCost {
			best, bestCost, bestRoom = i, cost, fresh && load+1 <= float64(f.slots)
		}
	}
	if best < 0 {
		f.comeBack(r, modelRetryAfter*(0.5+f.rng.Float64()), now)
		return
	}
	h.inFlight[best]++
	h.sentSince[best]++
	h.shedder.RecordSend(accountName(r.account), r.kind.rank)
	r.sentAt, r.direct = now, bestRoom
	f.attempts++
	f.at(now+modelReportLag, func(now clocker.Millis) { f.reach(r, best, avoid, now) })
}

// view returns what the host knows of the servers.
func (h *modelHost) view(f *modelFleet, avoid []int, now clocker.Millis) iter.Seq[Server] {
	return func(yield func(Server) bool) {
		for i, r := range h.reports {
			if slices.Contains(avoid, i) {
				continue
			}
			s := Server{Slots: f.slots, ReportAge: now - r.at, Running: r.running, Queued: r.queued, SentSince: h.sentSince[i], InFlight: h.inFlight[i]}
			if r.at < 0 {
				s.ReportAge = -1
			}
			if now-h.rejectedAt[i] <= modelRejectionAge {
				s.RejectsAt = h.rejectsAt[i]
			}
			if !yield(s) {
				return
			}
		}
	}
}

// comeBack lets a caller return after a time, if it has three times as long left.
func (f *modelFleet) comeBack(r *modelRequest, after float64, now clocker.Millis) {
	left := float64(r.startBy - now)
	after = min(after, left/3) // as relayer does
	if r.attempts >= 4 || after < 1 {
		return
	}
	f.at(now+clocker.Millis(after), func(now clocker.Millis) { f.submit(r, now) })
}

// reach is the arrival of a request at a server.
func (f *modelFleet) reach(r *modelRequest, i int, avoid []int, now clocker.Millis) {
	s := f.servers[i]
	switch {
	case s.running < f.slots:
		f.start(r, i, now)
	case len(s.waiting) >= f.queue:
		f.rejections++
		report := s.report(now)
		f.at(now+modelReportLag, func(now clocker.Millis) {
			h := r.host
			h.inFlight[i]--
			h.hear(i, report, now)
			h.rejectsAt[i], h.rejectedAt[i] = report.running+report.queued, now
			if avoid = append(slices.Clone(avoid), i); len(avoid) < modelAttempts {
				f.send(r, avoid, now)
				return
			}
			f.comeBack(r, modelRetryAfter*(0.5+f.rng.Float64()), now)
		})
	default:
		s.waiting = append(s.waiting, r)
		f.at(max(now, r.startBy), func(_ clocker.Millis) { // the host closes the connection
			if at := slices.Index(s.waiting, r); at >= 0 {
				s.waiting = slices.Delete(s.waiting, at, at+1)
				r.host.inFlight[i]--
				f.expired++
			}
		})
	}
}

func (f *modelFleet) start(r *modelRequest, i int, now clocker.Millis) {
	s := f.servers[i]
	s.running++
	if now <= r.startBy {
		f.inTime[r.kind.name]++
		f.inTime[accountName(r.account)]++
	}
	report := s.report(now)
	f.at(now+modelReportLag, func(now clocker.Millis) { r.host.hear(i, report, now) })
	f.at(now+1+clocker.Millis(r.kind.holdMs*(0.5+f.rng.Float64())), func(now clocker.Millis) {
		s.running--
		f.startNext(i, now)
		f.at(now+modelReportLag, func(now clocker.Millis) {
			r.host.inFlight[i]--
			if r.direct {
				r.host.shedder.RecordHold(now - r.sentAt)
			}
		})
	})
}

// startNext starts the next request that waits.
func (f *modelFleet) startNext(i int, now clocker.Millis) {
	s := f.servers[i]
	next := -1
	for j, r := range s.waiting {
		if next < 0 || !f.fifo && r.kind.rank < s.waiting[next].kind.rank {
			next = j
		}
	}
	if next < 0 {
		return
	}
	r := s.waiting[next]
	s.waiting = slices.Delete(s.waiting, next, next+1)
	f.start(r, i, now)
}

func (s *modelServer) report(now clocker.Millis) modelReport {
	return modelReport{at: now, running: s.running, queued: len(s.waiting)}
}

// hear records a report.
func (h *modelHost) hear(i int, r modelReport, now clocker.Millis) {
	r.at = now
	h.reports[i] = r
	h.sentSince[i] = 0
	if r.running+r.queued > h.rejectsAt[i] {
		h.rejectsAt[i] = 0
	}
	h.mean += 0.05 * (float64(r.running+r.queued) - h.mean)
}

// modelResult sums up runs of one load.
type modelResult struct {
	arrived, inTime                                     map[string]int
	rejections, refused, refusedRoom, expired, attempts int
}

// share returns the share of requests of a kind or account that began in time.
func (r *modelResult) share(name string) float64 {
	return float64(r.inTime[name]) / float64(r.arrived[name])
}

// all returns the share of all requests that began in time.
func (r *modelResult) all() float64 {
	arrived, inTime := 0, 0
	for _, k := range modelKinds {
		arrived += r.arrived[k.name]
		inTime += r.inTime[k.name]
	}
	return float64(inTime) / float64(arrived)
}

// others returns the least share of an account other than the first.
func (r *modelResult) others() float64 {
	least := 1.0
	for a := 1; a < modelAccounts; a++ {
		least = min(least, r.share(accountName(a)))
	}
	return least
}

func (r *modelResult) String() string {
	s := fmt.Sprintf("began in time %.3f:", r.all())
	for _, k := range modelKinds {
		s += fmt.Sprintf(" %s %.3f,", k.name, r.share(k.name))
	}
	return s + fmt.Sprintf(" first account %.3f, least other %.3f; rejected %d, refused %d (%d while a slot was free), given up %d, sends %d",
		r.share(accountName(0)), r.others(), r.rejections, r.refused, r.refusedRoom, r.expired, r.attempts)
}

// compare runs a load with all requests sent, and with refusals: four times each, a large fleet once.
func compare(t *testing.T, l modelLoad) (sent, shed *modelResult) {
	t.Helper()
	seeds := uint64(4)
	if l.servers > 4 {
		seeds = 1
	}
	var results [2]*modelResult
	for i := range results {
		r := &modelResult{arrived: map[string]int{}, inTime: map[string]int{}}
		for seed := range seeds {
			f := newModelFleet(l, i == 1, seed+1)
			f.run()
			for name, n := range f.arrived {
				r.arrived[name] += n
				r.inTime[name] += f.inTime[name]
			}
			r.rejections += f.rejections
			r.refused += f.refused
			r.refusedRoom += f.refusedRoom
			r.expired += f.expired
			r.attempts += f.attempts
		}
		results[i] = r
	}
	t.Logf("all sent: %v", results[0])
	t.Logf("with refusals: %v", results[1])
	assert.Assert(t, results[1].refusedRoom*1000 <= results[1].refused, "refused while a server had a free slot")
	return results[0], results[1]
}

// burst returns a load of 0.7 of what the servers can do, multiplied for some seconds.
func burst(hosts, servers, slots, queue int, factor float64, seconds clocker.Millis) modelLoad {
	return modelLoad{hosts: hosts, servers: servers, slots: slots, queue: queue, usual: 0.7, burst: factor, burstFrom: 4 * clocker.Second, burstFor: seconds * clocker.Second}
}

// Guards against servers that reject what they have no place for, whoever sent it: of the most urgent requests as many as of the others.
// Bursts of 2.5 times the usual load for 3 and 7 s; 4 hosts before 4 servers of 16 slots that let 8 wait, and 8 and 60 hosts
// before 12 servers of 64 slots that let 64 wait. What begins in time falls by at most 0.02 in
// sum: longer requests take the place of shorter ones.
func TestBurstIsRefusedBeforeTheServersRejectIt(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		load       modelLoad
		rejections float64
	}{
		{burst(4, 4, 16, 8, 2.5, 7), 0.25},
		{burst(4, 4, 16, 8, 2.5, 3), 0.5},
		{burst(4, 4, 16, 32, 2.5, 7), 0.25},
		{burst(8, 12, 64, 64, 2.5, 7), 0.25},
		{burst(60, 12, 64, 64, 2.5, 7), 0.85},
	} {
		t.Run(fmt.Sprintf("%d hosts, %d waiting, %d s", c.load.hosts, c.load.queue, c.load.burstFor/clocker.Second), func(t *testing.T) {
			t.Parallel()
			sent, shed := compare(t, c.load)
			assert.Assert(t, float64(shed.rejections) < c.rejections*float64(sent.rejections))
			assert.Assert(t, shed.all() > sent.all()-0.02)
			if c.load.queue == 32 { // the places to wait are enough for the most urgent requests
				assert.Assert(t, shed.share("chat") > 0.9)
				return
			}
			assert.Assert(t, shed.share("chat") > sent.share("chat")+0.02)
		})
	}
}

// Guards against refusals that cost requests where servers let many wait: these begin as many in time, and fewer wait in vain. 4 hosts,
// 4 servers of 16 slots, a burst of 2.5 times for 7 s.
func TestRefusalsCostNothingWhereServersLetManyWait(t *testing.T) {
	t.Parallel()
	sent, shed := compare(t, burst(4, 4, 16, 500, 2.5, 7))
	assert.Assert(t, shed.expired < sent.expired)
	assert.Assert(t, shed.all() > sent.all()-0.01 && shed.share("chat") > 0.95)
}

// Guards against an account with 7.5 times its usual demand that takes the places of others: one of eight accounts, 4 hosts, 4 servers of
// 16 slots that let 8 wait, for 7 s.
func TestAccountWithFarMoreDemandDoesNotDisplaceOthers(t *testing.T) {
	t.Parallel()
	load := burst(4, 4, 16, 8, 7.5, 7)
	load.greedy = true
	sent, shed := compare(t, load)
	assert.Assert(t, shed.others() > sent.others()+0.01)
	assert.Assert(t, shed.share(accountName(0)) > sent.share(accountName(0))-0.06)
	assert.Assert(t, shed.all() > sent.all()-0.01)
	assert.Assert(t, shed.rejections*3 < sent.rejections)
}

// Guards against refusals by servers that start requests as they arrive, as application servers do: less urgent requests must
// not be refused for the sake of others that would not go before them.
func TestServersWithoutAnOrderOfUrgency(t *testing.T) {
	t.Parallel()
	load := burst(8, 12, 64, 64, 2.5, 7)
	load.fifo = true
	sent, shed := compare(t, load)
	assert.Assert(t, float64(shed.rejections) < 0.4*float64(sent.rejections))
	assert.Assert(t, shed.all() > sent.all()-0.01)
}

// Guards against any effect where the servers can do the load, or where hosts hear too little: at 0.7 and 0.9 of
// what the servers can do, in bursts of 1.3 and 1.5 times that, and in one of 2.5 times with 60 hosts before 60 servers of 12 slots,
// each of which a host hears of every seven seconds in the mean, beside its own sends.
func TestNothingIsRefusedInDoubt(t *testing.T) {
	t.Parallel()
	busy := burst(4, 4, 16, 8, 1, 1)
	busy.usual = 0.9
	for name, load := range map[string]modelLoad{
		"usual load":       burst(4, 4, 16, 8, 1, 1),
		"busy":             busy,
		"burst of 1.5":     burst(4, 4, 16, 32, 1.5, 7),
		"old reports":      burst(60, 60, 12, 24, 2.5, 7),
		"burst, one third": burst(4, 4, 16, 8, 1.3, 3),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent, shed := compare(t, load)
			assert.Equal(t, shed.refused, 0)
			assert.Equal(t, shed.String(), sent.String())
		})
	}
}
