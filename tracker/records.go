package tracker

import (
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

const (
	// resumeGrace is how long a caller may retry a stream of a replaced incarnation before
	// the stream is cancelled, in milliseconds.
	resumeGrace = 10 * clocker.Second
	// deadlineGrace is how long after its deadline a stream of a silent host stays
	// untouched, in milliseconds: the host may still run and be unreachable only from here.
	deadlineGrace = 5 * clocker.Second
	// recordRetention is the longest time that a record of a live host is kept after its
	// deadline, in milliseconds.
	recordRetention = 10 * clocker.Minute
	// maxRecordsPerOrigin bounds the records of one incarnation.
	maxRecordsPerOrigin = 20000
)

// hostState is what is known of an incarnation.
type hostState int

const (
	// hostSilent: no beats of it arrive, and no later incarnation is known. It may run and
	// be unreachable from here.
	hostSilent hostState = iota
	// hostAlive: it is a peer that is not suspect.
	hostAlive
	// hostReplaced: a later incarnation of its host is known, hence this one has ended.
	hostReplaced
)

// hostStates returns a function that looks up the state of an incarnation.
func hostStates(peers []heartbeater.Peer, isReplaced func(incarnation string) bool) func(incarnation string) hostState {
	return func(incarnation string) hostState {
		for _, p := range peers {
			if p.Incarnation == incarnation && !p.Suspect {
				return hostAlive
			}
		}
		if isReplaced(incarnation) {
			return hostReplaced
		}
		return hostSilent
	}
}

// record is an open stream of another host.
type record struct {
	stream *messenger.OpenStream
	// replacedSince is when a sweep first found its incarnation replaced; 0 if none did.
	replacedSince clocker.Millis
}

// recordSet holds the open streams of other hosts by incarnation and request ID.
type recordSet map[string]map[string]*record

// merge adds the opened streams of a request and removes the ended ones.
func (r recordSet) merge(q *messenger.TrackRequest) {
	streams := r[q.Incarnation]
	if streams == nil {
		streams = map[string]*record{}
		r[q.Incarnation] = streams
	}
	for _, s := range q.Opened {
		if len(streams) >= maxRecordsPerOrigin {
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

// removeDue removes and returns the streams to take over now. It also drops records of live
// hosts after recordRetention.
func (r recordSet) removeDue(now clocker.Millis, stateOf func(incarnation string) hostState) []*messenger.OpenStream {
	var due []*messenger.OpenStream
	for origin, streams := range r {
		state := stateOf(origin)
		for id, rec := range streams {
			overdue := now - clocker.Millis(rec.stream.DeadlineMs)
			switch {
			case state == hostAlive && overdue > recordRetention:
				delete(streams, id)
			case state != hostAlive && rec.isDue(now, overdue, state):
				due = append(due, rec.stream)
				delete(streams, id)
			}
		}
		if len(streams) == 0 {
			delete(r, origin)
		}
	}
	return due
}

// isDue reports whether the stream of a silent or replaced incarnation is to be taken over
// now. The overdue time is that since its deadline.
func (rec *record) isDue(now, overdue clocker.Millis, state hostState) bool {
	if overdue > deadlineGrace {
		return true
	}
	if state != hostReplaced {
		return false
	}
	if rec.replacedSince == 0 {
		rec.replacedSince = now
	}
	return now-rec.replacedSince >= resumeGrace
}
