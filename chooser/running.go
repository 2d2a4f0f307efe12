package chooser

// Running returns a server as it runs by all that is known: its start is not that of its entry while the entry
// is still that of an earlier incarnation. It returns false if the server is not known.
func (c *Chooser) Running(id string) (Server, bool) {
	m := c.servers[id]
	if m == nil {
		return Server{}, false
	}
	return m.running(), true
}
