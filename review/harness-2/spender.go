package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// promptTokens and outputTokens are what each request of the tenant costs at its most, and all of it is used.
	promptTokens, outputTokens = 1000, 60
	cost                       = promptTokens + outputTokens
	// recovery is how long the fleet has after a fault (recovery_s).
	recovery = 12 * time.Second
	// settle is how long after its end a request still counts at its most (settle_ms).
	settle = 1500 * time.Millisecond
	// idleBound is the number of requests in a row without success after which a case ends.
	idleBound = 15
)

// spender sends requests of a tenant, which spend its prepaid tokens, and counts the answers.
type spender struct {
	world   *world
	prepaid int64
	hosts   atomic.Pointer[[]*router]
	next    atomic.Int64

	mu sync.Mutex
	// used are the tokens of requests that were served and ended settle ago, and recent are all other requests.
	used   int64
	recent map[string]*charge
	judged judgement
}

// charge is what a request costs.
type charge struct {
	atMost, used int64
	// endedAt is zero while the request goes on.
	endedAt time.Duration
}

// judgement counts the answers to requests from its begin on.
type judgement struct {
	requests, served int
	// denied counts the 402 for requests that fit into 97 in 100 of what is prepaid.
	denied, refused, others int
}

// spend sends one request to a host and counts its answer.
func (s *spender) spend() answer {
	hosts := *s.hosts.Load()
	host := hosts[rand.IntN(len(hosts))]
	id := fmt.Sprintf("q%05d", s.next.Add(1))
	fits := s.begin(id, cost)
	a := tenantRequest(id, promptTokens, outputTokens).send(host.caller)
	served := a.status == http.StatusOK && a.whole
	used := s.end(id, served)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judged.requests++
	note := ""
	switch {
	case served:
		s.judged.served++
	case a.status == http.StatusPaymentRequired && fits:
		s.judged.denied++
		note = "; it fits into 97 in 100"
	case a.status == http.StatusPaymentRequired:
		s.judged.refused++
	default:
		s.judged.others++
	}
	s.world.record.line("request %s of %d tokens to host %s: %v; used %d of %d%s", id, cost, host.host, a, used, s.prepaid, note)
	return a
}

// begin counts a request as sent, and reports whether it fits, at its most, into 97 in 100 of what is prepaid, counting at
// their most those that had not ended settle before.
func (s *spender) begin(id string, atMost int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recent == nil {
		s.recent = map[string]*charge{}
	}
	s.recent[id] = &charge{atMost: atMost}
	at, sum := now(), int64(0)
	for other, c := range s.recent {
		if c.endedAt > 0 && at-c.endedAt >= settle {
			s.used += c.used
			delete(s.recent, other)
			continue
		}
		sum += c.atMost
	}
	return s.used+sum <= s.prepaid*97/100
}

// end counts a request as ended, and returns the tokens that were used so far.
func (s *spender) end(id string, served bool) int64 {
	s.mu.Lock()
	c := s.recent[id]
	c.endedAt = now()
	if served {
		c.used = c.atMost
	}
	s.mu.Unlock()
	return s.usedNow()
}

// run sends requests with several clients, each with a pause between two, until done says so. idle is the number of
// requests in a row without success.
func (s *spender) run(clients int, pause time.Duration, done func(used int64, idle int) bool) {
	var group sync.WaitGroup
	var idle atomic.Int64
	for range clients {
		group.Go(func() {
			for !done(s.usedNow(), int(idle.Load())) {
				if a := s.spend(); a.status == http.StatusOK && a.whole {
					idle.Store(0)
				} else {
					idle.Add(1)
				}
				sleep(pause)
			}
		})
	}
	group.Wait()
}

func (s *spender) usedNow() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := s.used
	for _, c := range s.recent {
		sum += c.used
	}
	return sum
}

// judge forgets the answers so far.
func (s *spender) judge() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judged = judgement{}
}

// verdict tells whether more requests were denied than the rule DENIED allows.
func (s *spender) verdict() verdict {
	used := s.usedNow()
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.judged
	allowed := 5 + j.requests/500
	text := fmt.Sprintf("used %d of %d tokens; of %d judged requests %d were served, %d that fit got 402 (allowed: %d), %d that don't fit got 402, %d ended otherwise",
		used, s.prepaid, j.requests, j.served, j.denied, allowed, j.refused, j.others)
	s.world.record.line("%s", text)
	fmt.Println(text)
	if j.denied > allowed {
		return broken
	}
	return held
}

// tenantRequest returns a request of the tenant to the model servers.
func tenantRequest(id string, prompt, output int) request {
	return request{
		id: id, path: "/stream/x", method: http.MethodPost, key: tenantKey, limit: 4 * time.Second, body: []byte("prompt"),
		headers: map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("%d,%d", prompt, output), "X-Prompt-Prefix": fmt.Sprintf("a1:%d,%s:100", prompt-100, id[1:])},
	}
}

// sendTooLarge lets one client at each host send requests that don't fit into what is left, one each interval, until the
// returned function is called.
func (s *spender) sendTooLarge(prompt int, interval time.Duration) (stop func()) {
	stopped := make(chan struct{})
	var group sync.WaitGroup
	for _, host := range *s.hosts.Load() {
		group.Go(func() {
			for {
				select {
				case <-stopped:
					return
				case <-after(time.Duration(float64(interval) * (0.5 + rand.Float64()))):
				}
				id := fmt.Sprintf("q%05d", s.next.Add(1))
				s.begin(id, int64(prompt+outputTokens))
				a := tenantRequest(id, prompt, outputTokens).send(host.caller)
				s.end(id, a.status == http.StatusOK && a.whole)
				s.world.record.line("request %s of %d tokens to host %s: %v", id, prompt+outputTokens, host.host, a)
			}
		})
	}
	return func() {
		close(stopped)
		group.Wait()
	}
}

// startFleet starts model servers and four hosts in two zones, and waits until the traffic may start.
func startFleet(w *world, prepaid int64) ([]*router, error) {
	for i, zone := range []string{"oslo-a", "oslo-b"} {
		b := &backend{id: fmt.Sprintf("i-model-%d", i), service: "model", zone: zone, engine: true, answer: func(_ *backend, rw http.ResponseWriter, r *http.Request, _ []byte) {
			streamEvents(rw, r, outputEvents(r), 5*time.Millisecond)
		}}
		if err := w.startBackend(b); err != nil {
			return nil, err
		}
	}
	w.store.put("config", "main", desired(1, prepaid))
	hosts, err := startHosts(w, 1)
	if err == nil {
		sleep(6 * time.Second) // the traffic starts 10 s after the machines
	}
	return hosts, err
}

// startHosts starts two hosts in each zone, numbered from first on, and waits until they are ready.
func startHosts(w *world, first int) ([]*router, error) {
	var hosts []*router
	for i := range 2 {
		for _, zone := range []string{"oslo-a", "oslo-b"} {
			r, err := w.startRouter(fmt.Sprintf("front-%s-%d", zone, first+i), zone)
			if err != nil {
				return nil, err
			}
			hosts = append(hosts, r)
		}
	}
	return hosts, awaitReady(20*time.Second, hosts...)
}
