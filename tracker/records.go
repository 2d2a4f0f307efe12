package tracker

import (
	"cowsliphinge/clocker"
	"cowsliphinge/heartbeater"
	"cowsliphinge/messenger"
)

const (
	// resumeGrace is how long a caller has to repeat a stream of a host that was
	// replaced, in milliseconds.
	resumeGrace = 10 * clocker.Second
	// deadlineGrace is how long behind its deadline a stream of a silent host is
	// left alone, in milliseconds: the host may only be cut off from here.
	deadlineGrace = 5 * clocker.Second
	// keepBound is how long behind its deadline a record is kept at most, in
	// milliseconds.
	keepBound = 10 * clocker.Minute
	// maxHeld bounds the records of one origin.
	maxHeld = 20000
)

// standing is what is known of an incarnation.
type standing int

const (
	// silent: nothing is heard of it; it may be cut off from here.
	silent standing = iota
	// alive: it was heard of lately.
	alive
	// replaced: its host was heard of as a later incarnation, so that it surely is gone.
	replaced
)

// standings returns a look-up of incarnations among the peers.
func standings(peers []heartbeater.Peer, isReplaced func(incarnation string) bool) func(incarnation string) standing {
	return func(incarnation string) standing {
		for _, p := range peers {
			if p.Incarnation == incarnation && !p.Suspect {
				return alive
			}
		}
		if isReplaced(incarnation) {
			return replaced
		}
		return silent
	}
}

// record is an open stream of another host.
type record struct {
	stream *messenger.OpenStream
	// goneSince is when its host was first seen replaced; 0 while it is not.
	goneSince clocker.Millis
}

// records are open streams by incarnation and request ID.
type records map[string]map[string]*record

func (r records) merge(q *messenger.TrackRequest) {
	streams := r[q.Incarnation]
	if streams == nil {
		streams = map[string]*record{}
		r[q.Incarnation] = streams
	}
	for _, s := range q.Opened {
		if len(streams) >= maxHeld {
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

func (r records) find(requestID string) *messenger.OpenStream {
	for _, streams := range r {
		if found := streams[requestID]; found != nil {
			return found.stream
		}
	}
	return nil
}

// due removes and returns the streams that are to be taken up now.
func (r records) due(now clocker.Millis, stands func(incarnation string) standing) []*messenger.OpenStream {
	var due []*messenger.OpenStream
	for origin, streams := range r {
		stand := stands(origin)
		for id, rec := range streams {
			over := now - clocker.Millis(rec.stream.DeadlineMs)
			switch {
			case stand == alive && over > keepBound:
				delete(streams, id)
			case stand != alive && rec.isDue(now, over, stand):
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

// isDue reports whether the stream of a host that is not heard of is taken up.
func (rec *record) isDue(now, over clocker.Millis, stand standing) bool {
	if over > deadlineGrace {
		return true
	}
	if stand != replaced {
		return false
	}
	if rec.goneSince == 0 {
		rec.goneSince = now
	}
	return now-rec.goneSince >= resumeGrace
}
