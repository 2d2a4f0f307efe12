package tracker

import (
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

const (
	// resumeGrace is how long a caller may retry a stream of a replaced incarnation before
	// the stream is cancelled, in milliseconds. It ends early once deadlineGrace has passed.
	resumeGrace = 10 * clocker.Second
	// deadlineGrace is how long after its deadline a stream of a silent incarnation is not
	// cancelled, in milliseconds: its host may run and be unreachable only from here. A
	// stream of a replaced incarnation is cancelled no later.
	deadlineGrace = 5 * clocker.Second
	// recordRetention is the longest time that a record of a live incarnation is kept after
	// the deadline of the stream, in milliseconds.
	recordRetention = 10 * clocker.Minute
	// maxRecordsPerIncarnation bounds the records of one incarnation.
	maxRecordsPerIncarnation = 20000
)

// incarnationState is the state of an incarnation as known here.
type incarnationState int

const (
	// incarnationSilent is an incarnation that is neither alive nor replaced. It may run
	// and be unreachable from here.
	incarnationSilent incarnationState = iota
	// incarnationAlive is the current incarnation of a peer that is not suspect.
	incarnationAlive
	// incarnationReplaced is an incarnation that another one of its host directly followed,
	// hence it has ended.
	incarnationReplaced
)

// stateLookup returns a function that returns the state of an incarnation.
func stateLookup(peers []heartbeater.Peer, isReplaced func(incarnation string) bool) func(incarnation string) incarnationState {
	return func(incarnation string) incarnationState {
		for _, p := range peers {
			if p.Incarnation == incarnation && !p.Suspect {
				return incarnationAlive
			}
		}
		if isReplaced(incarnation) {
			return incarnationReplaced
		}
		return incarnationSilent
	}
}

// record is an open stream of another host.
type record struct {
	stream *messenger.OpenStream
	// replacedSince is when a sweep first found the serving incarnation replaced; 0 if none
	// did.
	replacedSince clocker.Millis
}

// recordSet holds the open streams of other hosts by serving incarnation and request ID. The
// serving incarnation is the one that opened the stream for its caller; another host may
// have forwarded the record.
type recordSet map[string]map[string]*record

// merge adds the opened streams of a request and removes the ended ones.
func (r recordSet) merge(q *messenger.TrackRequest) {
	streams := r[q.Incarnation]
	if streams == nil {
		streams = map[string]*record{}
		r[q.Incarnation] = streams
	}
	for _, s := range q.Opened {
		if len(streams) >= maxRecordsPerIncarnation {
			untracked.Inc()
			continue
		}
		streams[s.RequestId] = &record{stream: s}
	}
	for _, id := range q.Ended {
		delete(streams, id)
	}
	if len(streams) == 0 {
		delete(r, q.Incarnation)
	}
}

// find returns the stream of the request, or nil.
func (r recordSet) find(requestID string) *messenger.OpenStream {
	for _, streams := range r {
		if found := streams[requestID]; found != nil {
			return found.stream
		}
	}
	return nil
}

// removeDue removes and returns the streams to cancel now. It also drops records of live
// incarnations after recordRetention.
func (r recordSet) removeDue(now clocker.Millis, stateOf func(incarnation string) incarnationState) []*messenger.OpenStream {
	var due []*messenger.OpenStream
	for incarnation, streams := range r {
		state := stateOf(incarnation)
		for id, rec := range streams {
			overdue := now - clocker.Millis(rec.stream.DeadlineMs)
			switch {
			case state == incarnationAlive && overdue > recordRetention:
				delete(streams, id)
			case state != incarnationAlive && rec.isDue(now, overdue, state):
				due = append(due, rec.stream)
				delete(streams, id)
			}
		}
		if len(streams) == 0 {
			delete(r, incarnation)
		}
	}
	return due
}

// isDue reports whether the stream of a silent or replaced incarnation is to be cancelled now.
// The overdue time is that since its deadline.
func (rec *record) isDue(now, overdue clocker.Millis, state incarnationState) bool {
	if overdue > deadlineGrace {
		return true
	}
	if state != incarnationReplaced {
		return false
	}
	if rec.replacedSince == 0 {
		rec.replacedSince = now
	}
	return now-rec.replacedSince >= resumeGrace
}
