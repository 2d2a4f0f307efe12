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

func (r *escrowRequest) timeOut() bool {
	r.TimeOut()
	return r.Err == nil
}

func (r *escrowRequest) settle(used int64) {
	r.reserver.Settle(r.Reservation, used)
}

// centralCounter keeps each budget in a counter at the platform. Each request takes one
// read and one conditional write to reserve, and the same to settle.
type centralCounter struct {
	*fleet
	remaining  map[string]int64
	unreturned int64
	callsMade  int64
}

func (c *centralCounter) reachable(host int) bool {
	c.callsMade += 2
	_, err := c.store.Get(context.Background(), "counter")
	return c.nodes[host].partition == 0 && !storer.IsErrOutcomeUnknown(err)
}

func (c *centralCounter) start(host int, budget string) request {
	ok := c.reachable(host) && c.remaining[budget] >= worstCase
	if ok {
		c.remaining[budget] -= worstCase
	}
	return &immediateRequest{accepted: ok, refund: func(unused int64) {
		if c.reachable(host) {
			c.remaining[budget] += unused
		} else {
			c.unreturned += unused
		}
	}}
}

func (c *centralCounter) crash(int)                         {}
func (c *centralCounter) topUp(budget string, tokens int64) { c.remaining[budget] += tokens }
func (c *centralCounter) step(bool)                         {}
func (c *centralCounter) stranded(int64) int64              { return c.unreturned }
func (c *centralCounter) calls() int64                      { return c.callsMade }

// staticSplit splits each top-up equally among the hosts. A partitioned host receives
// its share after the partition ends.
type staticSplit struct {
	*fleet
	shares        []map[string]int64
	pendingShares []map[string]int64
	lostTokens    int64
}

func newStatic(f *fleet) budgetMethod {
	s := &staticSplit{fleet: f}
	for range f.nodes {
		s.shares = append(s.shares, map[string]int64{})
		s.pendingShares = append(s.pendingShares, map[string]int64{})
	}
	return s
}

func (s *staticSplit) start(host int, budget string) request {
	share := s.shares[host]
	ok := share[budget] >= worstCase
	if ok {
		share[budget] -= worstCase
	}
	return &immediateRequest{accepted: ok, refund: func(unused int64) { share[budget] += unused }}
}

func (s *staticSplit) crash(host int) {
	for _, tokens := range s.shares[host] {
		s.lostTokens += tokens
	}
	s.shares[host] = map[string]int64{}
}

func (s *staticSplit) topUp(budget string, tokens int64) {
	for _, pending := range s.pendingShares {
		pending[budget] += tokens / int64(len(s.nodes))
	}
	s.step(true)
}

func (s *staticSplit) step(bool) {
	for i, n := range s.nodes {
		if n.partition != 0 {
			continue
		}
		for budget, tokens := range s.pendingShares[i] {
			s.shares[i][budget] += tokens
		}
		clear(s.pendingShares[i])
	}
}

func (s *staticSplit) stranded(int64) int64 { return s.lostTokens }
func (s *staticSplit) calls() int64         { return 0 }

// immediateRequest is a request that was decided without waiting.
type immediateRequest struct {
	accepted bool
	refund   func(rest int64)
}

func (c *immediateRequest) poll() (bool, bool) { return true, c.accepted }
func (c *immediateRequest) timeOut() bool      { return false }
func (c *immediateRequest) settle(used int64)  { c.refund(worstCase - used) }
