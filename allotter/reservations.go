package allotter

const (
	// slotBits is the number of low bits of a reservation ID that hold its slot
	// index.
	slotBits = 20
	maxSlots = 1 << slotBits
	slotMask = maxSlots - 1
)

// reservations is the table of open reservations. It makes sure that each is
// settled at most once.
type reservations struct {
	slots      []slot
	free       []int32
	lastSerial int64
}

type slot struct {
	id     int64
	tokens int64
}

// open adds a reservation and returns its ID, or false if the table is full.
func (s *reservations) open(tokens int64) (int64, bool) {
	if len(s.free) == 0 && !s.grow() {
		return 0, false
	}
	i := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.lastSerial++
	id := s.lastSerial<<slotBits | int64(i)
	s.slots[i] = slot{id: id, tokens: tokens}
	return id, true
}

// close removes the reservation with the given ID and returns its tokens, or false
// if it is not open. With keepOpen, an injected fault, it stays open.
func (s *reservations) close(id int64, keepOpen bool) (int64, bool) {
	i := id & slotMask
	if id <= 0 || i >= int64(len(s.slots)) || s.slots[i].id != id {
		return 0, false
	}
	tokens := s.slots[i].tokens
	if keepOpen {
		return tokens, true
	}
	s.slots[i] = slot{}
	s.free = append(s.free, int32(i))
	return tokens, true
}

func (s *reservations) grow() bool {
	n := len(s.slots)
	if n == maxSlots {
		return false
	}
	s.slots = append(s.slots, slot{})
	s.free = append(s.free, int32(n))
	return true
}
