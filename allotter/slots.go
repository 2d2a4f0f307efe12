package allotter

const (
	// slotBits is how many bits of a reservation's ID name its slot.
	slotBits = 20
	maxSlots = 1 << slotBits
	slotMask = maxSlots - 1
)

// slots hold the open reservations, so that each is settled once.
type slots struct {
	all    []slot
	free   []int32
	serial int64
}

type slot struct {
	id     int64
	tokens int64
}

// open takes a slot, or returns false if all are taken.
func (s *slots) open(tokens int64) (int64, bool) {
	if len(s.free) == 0 && !s.grow() {
		return 0, false
	}
	i := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.serial++
	id := s.serial<<slotBits | int64(i)
	s.all[i] = slot{id: id, tokens: tokens}
	return id, true
}

// close frees the slot of id and returns its tokens, or false if id is not
// open. With keep the slot stays open.
func (s *slots) close(id int64, keep bool) (int64, bool) {
	i := id & slotMask
	if id <= 0 || i >= int64(len(s.all)) || s.all[i].id != id {
		return 0, false
	}
	tokens := s.all[i].tokens
	if keep {
		return tokens, true
	}
	s.all[i] = slot{}
	s.free = append(s.free, int32(i))
	return tokens, true
}

func (s *slots) grow() bool {
	n := len(s.all)
	if n == maxSlots {
		return false
	}
	s.all = append(s.all, slot{})
	s.free = append(s.free, int32(n))
	return true
}
