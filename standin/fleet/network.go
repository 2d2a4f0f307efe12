package fleet

import "sync"

// network knows which availability zone each address is in, and which zones
// are cut off.
type network struct {
	mu    sync.RWMutex
	zones map[string]string // by address
	hosts map[string]string // by host name
	cuts  map[string]bool   // by zone
}

func newNetwork() *network {
	return &network{zones: map[string]string{}, hosts: map[string]string{}, cuts: map[string]bool{}}
}

func (n *network) place(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

func (n *network) placeHost(name, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[name] = zone
}

func (n *network) cut(zone string, off bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[zone] = off
}

// Reaches implements router.Network.
func (n *network) Reaches(from, address string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	here := n.hosts[from]
	there := n.zones[address]
	return here == there || (!n.cuts[here] && !n.cuts[there])
}
