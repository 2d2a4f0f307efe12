package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/clocker"
	"cowsliphinge/connector"
	"cowsliphinge/dispatcher"
	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/picker"
	"cowsliphinge/quarantiner"
	"cowsliphinge/reserver"
)

// crashingServers is the environment of a Dispatcher whose backend servers crash on the body "deadly":
// the budgets, retries and bills allow everything.
type crashingServers struct {
	clock       *clocker.Clock
	quarantiner *quarantiner.Quarantiner
	crashes     int
	chosen      int
	// listening is true if crashed servers still accept connections: only the path was lost.
	listening bool
}

func (s *crashingServers) Refused(r quarantiner.Request) clocker.Millis {
	held, refused := s.quarantiner.Refused(r, s.clock.Now())
	if !refused {
		return 0
	}
	return held.Until
}

func (s *crashingServers) Answered(_ quarantiner.Server, r quarantiner.Request, _ bool) {
	s.quarantiner.Answered(r, s.clock.Now())
}

func (s *crashingServers) Crashed(server quarantiner.Server, r quarantiner.Request) {
	s.quarantiner.Crashed(server.Hash(), r, s.clock.Now())
}

func (s *crashingServers) Acquire(context.Context, picker.Request) (picker.Choice, error) {
	s.chosen++
	name := fmt.Sprint("s", s.chosen)
	return picker.Choice{Server: &messenger.BackendServer{Name: name, Address: name}}, nil
}

func (*crashingServers) Release(picker.Choice, picker.Outcome) {}

func (s *crashingServers) Call(_ string, r connector.Request) (*connector.Answer, error) {
	s.clock.Advance(clocker.Second)
	if string(r.Body) == "deadly" {
		s.crashes++
		return nil, connector.ErrAborted{Cause: io.ErrUnexpectedEOF}
	}
	return &connector.Answer{Status: 200}, nil
}

func (s *crashingServers) Stream(string, connector.Request) (*connector.Answer, error) {
	return nil, connector.ErrNotSent{}
}

func (*crashingServers) Reserve(context.Context, string, int64, int, clocker.Millis) (reserver.Reservation, error) {
	return reserver.Reservation{}, nil
}
func (*crashingServers) Settle(reserver.Reservation, int64)            {}
func (*crashingServers) Record(context.Context, *messenger.Bill) error { return nil }
func (*crashingServers) HasCapacity() bool                             { return true }
func (*crashingServers) CountFirstAttempt()                            {}
func (*crashingServers) Allow(string) bool                             { return true }
func (*crashingServers) Backoff(int) clocker.Millis                    { return 0 }

func newCrashingServers() (*crashingServers, *dispatcher.Dispatcher) {
	s := &crashingServers{clock: clocker.NewManual(clocker.Hour), quarantiner: quarantiner.New()}
	index := indexer.New(&messenger.Configuration{})
	return s, dispatcher.New(dispatcher.Config{
		Clock: s.clock, Index: func() *indexer.Index { return index }, Reserver: s, Biller: s, Balancer: s, Retrier: s,
		Connector: s, Quarantine: s, Refuses: func(string) bool { return !s.listening },
	})
}

func callOf(s *crashingServers, account, body string, idempotent bool) dispatcher.Call {
	return dispatcher.Call{
		Account: &messenger.ClientAccount{Name: account}, Service: &messenger.Service{Name: "orders", Idempotent: idempotent},
		RequestID: "r", Deadline: s.clock.Now() + clocker.Minute, Method: "POST", Path: "/x", Body: []byte(body),
	}
}

// A call that crashed application servers was sent to as many as the retries allowed, each time that it
// came again. It is refused from the third crash on, its retries too; a refusal says that it has not run
// only if it has not.
func TestCallThatCrashesServersIsRefused(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent ", idempotent), func(t *testing.T) {
			s, d := newCrashingServers()
			for i := range 6 {
				before := s.crashes
				_, refusal := d.RunApplication(context.Background(), callOf(s, "one", "deadly", idempotent))
				assert.Assert(t, refusal != nil, "call %d", i)
				assert.Equal(t, refusal.NotRun, s.crashes == before, "call %d", i)
			}
			assert.Equal(t, s.crashes, 3)
			_, refusal := d.RunApplication(context.Background(), callOf(s, "one", "deadly", idempotent))
			assert.Equal(t, refusal.Code, dispatcher.CodeQuarantined)
			assert.Assert(t, refusal.RetryAfterMs > clocker.Minute)
			for _, sound := range []dispatcher.Call{callOf(s, "one", "sound", idempotent), callOf(s, "two", "sound", idempotent)} {
				_, refusal := d.RunApplication(context.Background(), sound)
				assert.Assert(t, refusal == nil)
			}
			assert.Equal(t, d.InFlight(), int64(0))
		})
	}
}

// Servers that still listen have not crashed: the path to them loses connections.
func TestLostConnectionsAreNoCrashes(t *testing.T) {
	s, d := newCrashingServers()
	s.listening = true
	for range 6 {
		_, refusal := d.RunApplication(context.Background(), callOf(s, "one", "deadly", true))
		assert.Assert(t, refusal.Code != dispatcher.CodeQuarantined)
	}
	assert.Assert(t, s.crashes > 6)
}
