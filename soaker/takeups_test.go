package soaker

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/server"
)

// takeUps plants ten new streams, nine of which begin, and take-ups of one stream of v1, of which some go on.
func takeUps(r *recorder, n, goingOn int) {
	for i := range 10 {
		q := served(fmt.Sprint("new-", i), "/stream/x")
		q.versions, q.sentAt, q.endedAt = []string{"v1"}, 10*clocker.Second, 11*clocker.Second
		if i == 9 {
			q.status, q.signed, q.events, q.versions = 503, false, nil, nil
		}
		r.ended(q)
	}
	for i := range n {
		q := request{id: fmt.Sprint("again-", i), path: "/stream/x", account: "one", origin: "new-0", after: 11, status: 503, sentAt: 10 * clocker.Second, endedAt: 11 * clocker.Second}
		if i < goingOn {
			q.status, q.signed, q.events, q.versions = 200, true, []int{12}, []string{"v1"}
		}
		r.ended(q)
	}
}

// Take-ups that go on less than half as often as new streams begin are a finding, if enough of them are sent
// by routers in touch while two servers of their version serve.
func TestRefusedTakeUpsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		takeUps, goingOn int
		servers          int
		disturbed        bool
		failed, cut      bool
		atEnd            bool
		want             int
	}{
		"too few go on":     {takeUps: 12, goingOn: 5, servers: 2, want: 1},
		"enough go on":      {takeUps: 12, goingOn: 6, servers: 2},
		"too few to judge":  {takeUps: 11, servers: 2},
		"one server":        {takeUps: 12, servers: 1},
		"disturbed router":  {takeUps: 12, servers: 2, disturbed: true},
		"servers that fail": {takeUps: 12, servers: 2, failed: true},
		"servers that cut":  {takeUps: 12, servers: 2, cut: true},
		"nothing to go on":  {takeUps: 12, servers: 2, atEnd: true},
	} {
		r := newRecorder(map[string]int64{"one": 1000})
		for i := range 3 {
			version := "v1"
			if i >= c.servers {
				version = "v2"
			}
			r.began(fmt.Sprint("i-", i), version, clocker.Second)
		}
		if c.disturbed {
			r.disturb(0, span{8 * clocker.Second, 9 * clocker.Second})
		}
		takeUps(r, c.takeUps, c.goingOn)
		for i := range r.requests {
			q := &r.requests[i]
			switch {
			case q.origin == "":
			case c.atEnd:
				q.after = streamEvents
			case c.failed:
				q.status, q.signed = 500, true
			case c.cut:
				q.status = 502
				r.ran("i-0", server.Run{RequestID: q.id, Account: "one", Fault: server.Abort})
			}
		}
		found := r.findings()
		assert.Equal(t, len(found), c.want, "%s: %v", name, found)
	}
}

// Servers that have just restarted, or end before the answer, are no peers.
func TestPeersServeAllTheTime(t *testing.T) {
	r := newRecorder(nil)
	q := request{sentAt: 10 * clocker.Second, endedAt: 11 * clocker.Second}
	for i, l := range []struct{ from, to clocker.Millis }{{1, 0}, {1, 11}, {1, 10}, {9, 0}} {
		id := fmt.Sprint("i-", i)
		r.began(id, "v1", l.from*clocker.Second)
		if l.to > 0 {
			r.crash(id, l.to*clocker.Second)
		}
	}
	assert.Equal(t, r.peers([]string{"v1"}, q), 2)
	assert.Equal(t, r.peers([]string{"v2"}, q), 0)
}
