package reserver_test

import (
	"context"

	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/reserver"
	"cowsliphinge/storer"
)

func decodeShard(o storer.Object) *messenger.BudgetShard {
	shard := &messenger.BudgetShard{}
	if err := proto.Unmarshal(o.Value, shard); err != nil {
		panic(err)
	}
	return shard
}

type escrowRequest struct {
	*reserver.Pending
	reserver *reserver.Reserver
}

func (r *escrowRequest) poll() (bool, bool) {
	r.Poll()
	return r.Ended, r.Ended && r.Err == nil
}

func (r *escrowRequest) giveUp() bool {
	r.GiveUp()
	return r.Err == nil
}

func (r *escrowRequest) settle(used int64) {
	r.reserver.Settle(r.Reservation, used)
}

// central asks a counter at the platform for each request: one read and one
// conditional write to reserve, and the same to settle.
type central struct {
	*fleet
	left       map[string]int64
	unreturned int64
	made       int64
}

func (c *central) reachable(host int) bool {
	c.made += 2
	_, err := c.store.Get(context.Background(), "counter")
	return c.nodes[host].side == 0 && !storer.IsErrOutcomeUnknown(err)
}

func (c *central) begin(host int, budget string) request {
	ok := c.reachable(host) && c.left[budget] >= worstCase
	if ok {
		c.left[budget] -= worstCase
	}
	return &counted{ok: ok, back: func(rest int64) {
		if c.reachable(host) {
			c.left[budget] += rest
		} else {
			c.unreturned += rest
		}
	}}
}

func (c *central) crash(int)                         {}
func (c *central) topUp(budget string, tokens int64) { c.left[budget] += tokens }
func (c *central) pass(bool)                         {}
func (c *central) stranded(int64) int64              { return c.unreturned }
func (c *central) calls() int64                      { return c.made }

// static gives each host an equal part of each top-up; a host that is cut off
// gets its part when it is back.
type static struct {
	*fleet
	parts []map[string]int64
	owed  []map[string]int64
	lost  int64
}

func newStatic(f *fleet) system {
	s := &static{fleet: f}
	for range f.nodes {
		s.parts = append(s.parts, map[string]int64{})
		s.owed = append(s.owed, map[string]int64{})
	}
	return s
}

func (s *static) begin(host int, budget string) request {
	part := s.parts[host]
	ok := part[budget] >= worstCase
	if ok {
		part[budget] -= worstCase
	}
	return &counted{ok: ok, back: func(rest int64) { part[budget] += rest }}
}

func (s *static) crash(host int) {
	for _, tokens := range s.parts[host] {
		s.lost += tokens
	}
	s.parts[host] = map[string]int64{}
}

func (s *static) topUp(budget string, tokens int64) {
	for _, owed := range s.owed {
		owed[budget] += tokens / int64(len(s.nodes))
	}
	s.pass(true)
}

func (s *static) pass(bool) {
	for i, n := range s.nodes {
		if n.side != 0 {
			continue
		}
		for budget, tokens := range s.owed[i] {
			s.parts[i][budget] += tokens
		}
		clear(s.owed[i])
	}
}

func (s *static) stranded(int64) int64 { return s.lost }
func (s *static) calls() int64         { return 0 }

// counted is a request that was decided at once.
type counted struct {
	ok   bool
	back func(rest int64)
}

func (c *counted) poll() (bool, bool) { return true, c.ok }
func (c *counted) giveUp() bool       { return false }
func (c *counted) settle(used int64)  { c.back(worstCase - used) }
