package validator

import (
	"fmt"
	"slices"

	"cowsliphinge/messenger"
)

func (c *checker) moves() {
	seen := map[string]int{}
	for i, m := range c.d.Moves {
		path := fmt.Sprintf("$.Moves[%d]", i)
		c.unique(seen, "Moves", i, m.Name)
		if m.State == messenger.MoveState_MOVE_STATE_UNSPECIFIED {
			c.add(path+".State", "must be PLANNED, STARTED, CANCELLED or FINISHED")
		}
		c.moveTimes(path, m)
		c.moveHosts(path+".LeavingHosts", m.LeavingHosts)
		c.moveHosts(path+".ArrivingHosts", m.ArrivingHosts)
		c.moveServers(path+".LeavingBackendServers", m.LeavingBackendServers)
		c.moveServers(path+".ArrivingBackendServers", m.ArrivingBackendServers)
		c.bothWays(path+".ArrivingHosts", m.LeavingHosts, m.ArrivingHosts)
		c.bothWays(path+".ArrivingBackendServers", m.LeavingBackendServers, m.ArrivingBackendServers)
	}
	c.overlaps()
}

func (c *checker) moveTimes(path string, m *messenger.Move) {
	if m.StartAtMs <= 0 {
		c.add(path+".StartAtMs", "must be set")
	}
	if m.DrainAtMs < m.StartAtMs {
		c.add(path+".DrainAtMs", "must not be before StartAtMs")
	}
	if m.DueAtMs < m.DrainAtMs {
		c.add(path+".DueAtMs", "must not be before DrainAtMs")
	}
}

func (c *checker) moveHosts(path string, names []string) {
	c.repeats(path, names)
	for i, name := range names {
		if !slices.ContainsFunc(c.d.Hosts, func(h *messenger.Host) bool { return h.Name == name }) {
			c.add(fmt.Sprintf("%s[%d]", path, i), "no host is named %q", name)
		}
	}
}

func (c *checker) moveServers(path string, names []string) {
	c.repeats(path, names)
	for i, name := range names {
		if !slices.ContainsFunc(c.d.BackendServers, func(b *messenger.BackendServer) bool { return b.Name == name }) {
			c.add(fmt.Sprintf("%s[%d]", path, i), "no backend server is named %q", name)
		}
	}
}

func (c *checker) repeats(path string, names []string) {
	for i, name := range names {
		if slices.Contains(names[:i], name) {
			c.add(fmt.Sprintf("%s[%d]", path, i), "%s is listed twice", name)
		}
	}
}

func (c *checker) bothWays(path string, leaving, arriving []string) {
	for i, name := range arriving {
		if slices.Contains(leaving, name) {
			c.add(fmt.Sprintf("%s[%d]", path, i), "%s leaves in the same move", name)
		}
	}
}

// overlaps finds hosts and backend servers that two started moves take away.
func (c *checker) overlaps() {
	hosts := map[string]string{}
	servers := map[string]string{}
	for i, m := range c.d.Moves {
		if m.State != messenger.MoveState_STARTED {
			continue
		}
		c.takenTwice(fmt.Sprintf("$.Moves[%d].LeavingHosts", i), m.Name, m.LeavingHosts, hosts)
		c.takenTwice(fmt.Sprintf("$.Moves[%d].LeavingBackendServers", i), m.Name, m.LeavingBackendServers, servers)
	}
}

func (c *checker) takenTwice(path, move string, names []string, taken map[string]string) {
	for i, name := range names {
		if other, ok := taken[name]; ok && other != move {
			c.add(fmt.Sprintf("%s[%d]", path, i), "%s leaves in started move %s already", name, other)
			continue
		}
		taken[name] = move
	}
}

// Transitions returns what is wrong with the step from one version to the
// next: the states of moves, and what a started move still needs.
func Transitions(file string, before, after *messenger.Declarations) []*messenger.Finding {
	c := &checker{file: file, d: after}
	for i, m := range after.Moves {
		j := slices.IndexFunc(before.GetMoves(), func(o *messenger.Move) bool { return o.Name == m.Name })
		was := messenger.MoveState_MOVE_STATE_UNSPECIFIED
		if j >= 0 {
			was = before.Moves[j].State
		}
		path := fmt.Sprintf("$.Moves[%d]", i)
		if !mayFollow(was, m.State) {
			c.add(path+".State", "%s may not follow %s", m.State, was)
		}
		if j >= 0 {
			c.fixedOnceStarted(path, before.Moves[j], m)
		}
	}
	for _, m := range before.GetMoves() {
		gone := !slices.ContainsFunc(after.Moves, func(o *messenger.Move) bool { return o.Name == m.Name })
		if gone && m.State == messenger.MoveState_STARTED {
			c.add("$.Moves", "move %s is started and may not be removed: cancel it first", m.Name)
		}
	}
	return c.findings
}

// mayFollow tells which states of a move may follow which. A cancelled move may
// be started again.
func mayFollow(was, is messenger.MoveState) bool {
	if was == is {
		return true
	}
	switch is {
	case messenger.MoveState_PLANNED:
		return was == messenger.MoveState_MOVE_STATE_UNSPECIFIED || was == messenger.MoveState_CANCELLED
	case messenger.MoveState_STARTED:
		return was == messenger.MoveState_PLANNED || was == messenger.MoveState_CANCELLED
	case messenger.MoveState_CANCELLED:
		return was == messenger.MoveState_PLANNED || was == messenger.MoveState_STARTED
	case messenger.MoveState_FINISHED:
		return was == messenger.MoveState_STARTED
	default:
		return false
	}
}

// fixedOnceStarted checks that a move that is carried out keeps its lists.
func (c *checker) fixedOnceStarted(path string, was, is *messenger.Move) {
	if was.State != messenger.MoveState_STARTED || is.State != messenger.MoveState_STARTED {
		return
	}
	c.same(path+".LeavingHosts", was.LeavingHosts, is.LeavingHosts)
	c.same(path+".ArrivingHosts", was.ArrivingHosts, is.ArrivingHosts)
	c.same(path+".LeavingBackendServers", was.LeavingBackendServers, is.LeavingBackendServers)
	c.same(path+".ArrivingBackendServers", was.ArrivingBackendServers, is.ArrivingBackendServers)
}

func (c *checker) same(path string, was, is []string) {
	if !slices.Equal(was, is) {
		c.add(path, "may not change while the move is started: cancel it first")
	}
}
