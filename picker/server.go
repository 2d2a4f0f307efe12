package picker

import (
	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// server is what the picker knows of one backend server.
type server struct {
	name     string
	declared *messenger.BackendServer
	slots    int64
	// inFlight is how many slots this router has taken.
	inFlight int64
	// arrivedAt is when the server was first declared; 0 if it was there at the start.
	arrivedAt clocker.Millis
}

func newServer(name string, now clocker.Millis, arrival bool) *server {
	s := &server{name: name}
	if arrival {
		s.arrivedAt = now
	}
	return s
}

func (s *server) declare(d *messenger.BackendServer) {
	s.declared = d
	s.slots = d.Slots
	if s.slots <= 0 {
		s.slots = DefaultSlots
	}
}

// load is the share of the slots that is taken.
func (s *server) load() float64 {
	return float64(s.inFlight) / float64(s.slots)
}
