package admitter

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// reader is an Evictor that counts its evictions.
type reader struct {
	evictions int
}

func (r *reader) Evict() { r.evictions++ }

// testBudget is a budget of 1,000 bytes, 200 of them for requests of at most 50 bytes.
func testBudget() *Budget {
	return New(Config{Bytes: 1000, ReservedBytes: 200, SmallBytes: 50, AloneBytes: 1200, LeavingBytes: 300})
}

// open returns a holding with so many bytes and its reader.
func open(t *testing.T, b *Budget, bytes int64) (*Holding, *reader) {
	r := &reader{}
	h := b.Open(r)
	assert.NilError(t, h.Charge(bytes))
	return h, r
}

func reasonOf(err error) string {
	var full ErrMemoryFull
	if errors.As(err, &full) {
		return full.Reason
	}
	return ""
}

// Load: finished requests fill the budget and are answered. Memory that counts as short for too long would end
// responses that only pause.
func TestMemoryIsShortFromARefusalUntilThereIsRoom(t *testing.T) {
	b := testBudget()
	first, _ := open(t, b, 600)
	second, _ := open(t, b, 200)
	assert.NilError(t, errors.Join(first.Finish(), second.Finish()))
	assert.Assert(t, !first.Short())
	other := b.Open(&reader{})
	assert.Equal(t, reasonOf(other.Charge(300)), ReasonFull)
	assert.Assert(t, first.Short())
	second.Reset()
	assert.Assert(t, first.Short(), "more than half is held")
	first.Reset()
	assert.Assert(t, !first.Short())
	assert.Assert(t, !(*Holding)(nil).Short())
}

// Load: unfinished bodies of different sizes fill the budget. A body that is larger than all others would
// otherwise drive out smaller ones.
func TestLargestUnfinishedRequestLeaves(t *testing.T) {
	b := testBudget()
	small, smallReader := open(t, b, 250)
	_, largeReader := open(t, b, 500)
	assert.NilError(t, small.Charge(100))
	assert.Equal(t, largeReader.evictions, 1)
	largest, largestReader := open(t, b, 300)
	assert.Equal(t, reasonOf(largest.Charge(300)), ReasonFull, "it would hold the most itself")
	assert.Equal(t, smallReader.evictions+largestReader.evictions, 0)
}

// Load: stalled bodies of one size. Those that still make progress are not the ones to leave.
func TestOfEqualRequestsTheOneWithoutProgressLeaves(t *testing.T) {
	b := testBudget()
	first, firstReader := open(t, b, 200)
	_, secondReader := open(t, b, 250)
	assert.NilError(t, first.Charge(50))
	whole, _ := open(t, b, 100)
	assert.NilError(t, whole.Finish())
	third, _ := open(t, b, 200)
	assert.NilError(t, third.Charge(50), "250 of another one leave for as much")
	assert.Equal(t, secondReader.evictions, 1, "it has made no progress for longer")
	assert.Equal(t, firstReader.evictions, 0)
}

// Load: complete bodies that wait for servers. Their requests may be running, so they must not end.
func TestFinishedRequestsStay(t *testing.T) {
	b := testBudget()
	whole, wholeReader := open(t, b, 700)
	assert.NilError(t, whole.Finish())
	h, _ := open(t, b, 60)
	assert.Equal(t, reasonOf(h.Charge(60)), ReasonFull)
	assert.Equal(t, wholeReader.evictions, 0)
	whole.Release(700)
	assert.NilError(t, h.Charge(60))
}

// Load: large bodies only. Small requests keep the reserve.
func TestLargeRequestsLeaveTheReserve(t *testing.T) {
	b := testBudget()
	for range 4 {
		h, _ := open(t, b, 200)
		assert.NilError(t, h.Finish())
	}
	large := b.Open(&reader{})
	assert.Equal(t, reasonOf(large.Charge(60)), ReasonFull)
	for range 4 {
		open(t, b, 50)
	}
	assert.Equal(t, b.Held(), int64(1000))
	assert.Equal(t, reasonOf(b.Open(&reader{}).Charge(60)), ReasonFull)
}

// Load: small requests that stall fill everything, the reserve too. New ones take the place of the stalled.
func TestStalledSmallRequestsLeaveForNewOnes(t *testing.T) {
	b := testBudget()
	first, firstReader := open(t, b, 50)
	for range 19 {
		open(t, b, 50)
	}
	open(t, b, 50)
	assert.Equal(t, firstReader.evictions, 1)
	assert.Equal(t, reasonOf(first.Charge(1)), ReasonEvicted)
	assert.Equal(t, reasonOf(first.Finish()), ReasonEvicted)
}

// Load: one body on an idle host. It may hold more than large bodies may in all.
func TestSingleRequestMayHoldMore(t *testing.T) {
	b := testBudget()
	open(t, b, 50)
	alone, _ := open(t, b, 1200)
	assert.Equal(t, reasonOf(alone.Charge(1)), ReasonFull)
}

// Load: evictions faster than the evicted requests release their memory. What is held stays bounded.
func TestMemoryOfEvictedRequestsIsBounded(t *testing.T) {
	b := testBudget()
	var first *Holding
	for n := range 1000 {
		h := b.Open(&reader{})
		if h.Charge(50) == nil && n == 0 {
			first = h
		}
		assert.Assert(t, b.Held() <= 1300)
	}
	assert.Equal(t, b.Held(), int64(1300))
	assert.Equal(t, reasonOf(b.Open(&reader{}).Charge(50)), ReasonFull)
	first.Reset()
	assert.Equal(t, b.Held(), int64(1250))
	assert.NilError(t, b.Open(&reader{}).Charge(50))
}

// Load: any mix. What is held is the sum of the holdings and bounded at each step; no request that servers may
// have is evicted; and everything is released in the end.
func TestRandomRequestsStayWithinTheBudget(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := testBudget()
		var holdings []*Holding
		var readers []*reader
		done := map[*Holding]int{}
		for range 500 {
			switch n := rng.IntN(10); {
			case n < 2 || len(holdings) == 0:
				r := &reader{}
				holdings, readers = append(holdings, b.Open(r)), append(readers, r)
			default:
				i := rng.IntN(len(holdings))
				h := holdings[i]
				switch {
				case n < 7:
					_ = h.Charge(int64(1 + rng.IntN(120))) // either result is legal
				case n == 7 && h.Finish() == nil:
					done[h] = readers[i].evictions
				case n == 8:
					h.Release(int64(rng.IntN(100)))
				case n == 9:
					h.Reset()
					delete(done, h)
				}
			}
			sum, leaving := int64(0), int64(0)
			for i, h := range holdings {
				sum += h.bytes
				if h.state == evicted {
					leaving += h.bytes
				}
				if before, isDone := done[h]; isDone && readers[i].evictions != before {
					t.Fatalf("seed %d: a finished request was evicted", seed)
				}
			}
			if b.held != sum || b.leaving != leaving || b.held > 1300+1200 {
				t.Fatalf("seed %d: %d bytes held, %d by holdings; %d leaving, %d by holdings", seed, b.held, sum, b.leaving, leaving)
			}
		}
		for _, h := range holdings {
			h.Reset()
		}
		assert.Equal(t, b.Held(), int64(0))
		assert.Equal(t, len(b.unfinished), 0)
	}
}

// Load: a body while the budget has room. Its content must survive the chunks, and no chunk may exceed what
// was announced.
func TestBodyIsReadInCharges(t *testing.T) {
	b := New(ForMemory(64))
	content := strings.Repeat("0123456789abcde", 20_000)
	for _, announced := range []int64{-1, int64(len(content))} {
		h := b.Open(&reader{})
		body, err := ReadBody(iotest.HalfReader(strings.NewReader(content)), announced, h)
		assert.NilError(t, err)
		assert.Equal(t, string(slices.Concat(body.Parts()...)), content)
		assert.Equal(t, body.Len(), int64(len(content)))
		assert.Assert(t, b.Held() >= body.Len() && b.Held() <= body.Len()+chunkBytes)
		if announced >= 0 {
			assert.Equal(t, b.Held(), announced)
		}
		body.Release()
		assert.Equal(t, b.Held(), int64(0))
		assert.Assert(t, !body.Retain(), "its chunks may be in use elsewhere")
	}
}

// Load: a client announces a large body and sends nothing. Nothing may be charged for the announcement.
func TestAnnouncedLengthIsNotCharged(t *testing.T) {
	b := New(ForMemory(64))
	h := b.Open(&reader{})
	held := int64(-1)
	r := readerFunc(func([]byte) (int, error) {
		held = b.Held()
		return 0, io.ErrUnexpectedEOF
	})
	_, err := ReadBody(r, 1<<30, h)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, held, int64(firstChunkBytes))
	assert.Equal(t, b.Held(), int64(0))
}

// Load: a full budget in the middle of a body. What was read of it is released at once.
func TestRefusedBodyHoldsNothing(t *testing.T) {
	b := New(ForMemory(8))
	other, _ := open(t, b, b.cfg.Bytes-b.cfg.ReservedBytes-chunkBytes)
	assert.NilError(t, other.Finish())
	_, err := ReadBody(strings.NewReader(strings.Repeat("a", 1<<20)), -1, b.Open(&reader{}))
	assert.Assert(t, IsErrMemoryFull(err))
	assert.Equal(t, b.Held(), other.bytes)
}

// Load: an evicted body, whose reader fails with an error of its own.
func TestEvictedBodyFailsForMemory(t *testing.T) {
	b := testBudget()
	h, _ := open(t, b, 100)
	b.mu.Lock()
	b.evict(h)
	b.mu.Unlock()
	_, err := ReadBody(iotest.ErrReader(io.ErrClosedPipe), -1, h)
	assert.Equal(t, reasonOf(err), ReasonEvicted)
}

// Load: a server that answers before it has read the request. The write still uses the chunks after the
// connection has gone on to its next request, whose charges must not be mixed up with them.
func TestBodyInUseOutlivesItsRequest(t *testing.T) {
	b := New(ForMemory(64))
	h := b.Open(&reader{})
	body, err := ReadBody(strings.NewReader(strings.Repeat("a", 1000)), 1000, h)
	assert.NilError(t, err)
	assert.NilError(t, h.Finish())
	assert.Assert(t, body.Retain())
	body.Release()
	h.Reset()
	assert.Equal(t, b.Held(), int64(1000))
	assert.NilError(t, h.Charge(50))
	body.Release()
	assert.Equal(t, b.Held(), int64(50))
	h.Reset()
	assert.Equal(t, b.Held(), int64(0))
}

// Load: a body of 4 MiB on the smallest machines, and the small requests beside it.
func TestLargestBodyFitsOnTheSmallestMachine(t *testing.T) {
	b := New(ForMemory(144))
	for range 100 {
		open(t, b, RequestBytes+2000)
	}
	open(t, b, RequestBytes+4<<20)
}

// A nil Holding, as in tests of handlers without a Budget, grants everything.
func TestNilHoldingGrantsEverything(t *testing.T) {
	var h *Holding
	assert.NilError(t, h.Charge(1<<40))
	body, err := ReadBody(strings.NewReader("body"), 4, h)
	assert.NilError(t, err)
	assert.NilError(t, h.Finish())
	body.Release()
	h.Reset()
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// BenchmarkSmallRequest is what the budget costs on the ordinary path.
func BenchmarkSmallRequest(b *testing.B) {
	budget := New(ForMemory(144))
	h := budget.Open(&reader{})
	for b.Loop() {
		_ = h.Charge(700)
		_ = h.Charge(RequestBytes)
		_ = h.Finish()
		h.Reset()
	}
}
