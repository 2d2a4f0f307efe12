// Package indexer builds the lookup tables of an accepted configuration that requests
// use. An Index is immutable; each configuration version has its own.
package indexer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Index holds the lookup tables of one version of the configuration. All methods are
// safe for concurrent use.
type Index struct {
	Configuration *messenger.Configuration
	// Policy is the declared policy in which zeros are replaced by defaults.
	Policy *messenger.Policy

	accountsByKeyHash map[string]*messenger.ClientAccount
	accountsByName    map[string]*messenger.ClientAccount
	services          map[string]*messenger.Service
	hosts             map[string]*messenger.Host
	serversByName     map[string]*messenger.BackendServer
	serversByService  map[string][]*messenger.BackendServer
	serverDrainTimes  map[string]clocker.Millis
	hostDrainTimes    map[string]clocker.Millis
	budgets           []string
}

// New builds the index of a configuration. The configuration must not be changed
// afterwards.
func New(cfg *messenger.Configuration) *Index {
	x := &Index{
		Configuration:     cfg,
		Policy:            policyWithDefaults(cfg.GetDeclarations().GetPolicy()),
		accountsByKeyHash: map[string]*messenger.ClientAccount{},
		accountsByName:    map[string]*messenger.ClientAccount{},
		services:          map[string]*messenger.Service{},
		hosts:             map[string]*messenger.Host{},
		serversByName:     map[string]*messenger.BackendServer{},
		serversByService:  map[string][]*messenger.BackendServer{},
		serverDrainTimes:  map[string]clocker.Millis{},
		hostDrainTimes:    map[string]clocker.Millis{},
	}
	x.addDeclarations(cfg.GetDeclarations())
	return x
}

func (x *Index) addDeclarations(d *messenger.Declarations) {
	for _, a := range d.GetClientAccounts() {
		x.accountsByName[a.Name] = a
		x.budgets = append(x.budgets, a.Budget)
		x.accountsByKeyHash[a.KeySha256] = a
	}
	for _, s := range d.GetServices() {
		x.services[s.Name] = serviceWithDefaults(s)
	}
	for _, h := range d.GetHosts() {
		x.hosts[h.Name] = h
	}
	for _, b := range d.GetBackendServers() {
		x.serversByName[b.Name] = b
		x.serversByService[b.Service] = append(x.serversByService[b.Service], b)
	}
	for _, m := range d.GetMoves() {
		x.addMove(m)
	}
	slices.Sort(x.budgets)
	x.budgets = slices.Compact(x.budgets)
}

// addMove records the time from which the leaving backend servers and hosts of a move
// get no new work. Moves that are neither started nor finished have no effect.
func (x *Index) addMove(m *messenger.Move) {
	if m.State != messenger.MoveState_STARTED && m.State != messenger.MoveState_FINISHED {
		return
	}
	for _, name := range m.LeavingBackendServers {
		x.serverDrainTimes[name] = clocker.Millis(m.DrainAtMs)
	}
	for _, name := range m.LeavingHosts {
		x.hostDrainTimes[name] = clocker.Millis(m.DrainAtMs)
	}
}

// Version returns the version of the configuration.
func (x *Index) Version() int64 {
	return x.Configuration.GetVersion()
}

// HashKey returns the hash under which declarations store a bearer key: SHA-256 in hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the client account of a bearer key, or nil. The lookup is by the
// key's hash, so its duration reveals nothing about the key.
func (x *Index) Authenticate(key string) *messenger.ClientAccount {
	return x.accountsByKeyHash[HashKey(key)]
}

// ClientAccount returns a client account by name, or nil.
func (x *Index) ClientAccount(name string) *messenger.ClientAccount {
	return x.accountsByName[name]
}

// Budgets returns the budgets of all client accounts, sorted and without duplicates. The
// caller must not change the slice.
func (x *Index) Budgets() []string {
	return x.budgets
}

// Service returns a service by name, with defaults in place of zeros, or nil.
func (x *Index) Service(name string) *messenger.Service {
	return x.services[name]
}

// LanguageService returns the language service that serves the model, or nil.
func (x *Index) LanguageService(model string) *messenger.Service {
	for _, b := range x.Configuration.GetDeclarations().GetBackendServers() {
		s := x.services[b.Service]
		if s != nil && s.Kind == messenger.ServiceKind_LANGUAGE && slices.Contains(b.Models, model) {
			return s
		}
	}
	return nil
}

// Host returns a host by name, or nil.
func (x *Index) Host(name string) *messenger.Host {
	return x.hosts[name]
}

// Hosts returns all declared hosts.
func (x *Index) Hosts() []*messenger.Host {
	return x.Configuration.GetDeclarations().GetHosts()
}

// BackendServer returns a backend server by name, or nil.
func (x *Index) BackendServer(name string) *messenger.BackendServer {
	return x.serversByName[name]
}

// BackendServers returns the backend servers of a service, including leaving ones.
func (x *Index) BackendServers(service string) []*messenger.BackendServer {
	return x.serversByService[service]
}

// ServerLeaving reports whether a backend server is leaving at now and gets no new work.
func (x *Index) ServerLeaving(name string, now clocker.Millis) bool {
	at, ok := x.serverDrainTimes[name]
	return ok && now >= at
}

// HostLeaving reports whether a host is leaving at now and must drain.
func (x *Index) HostLeaving(name string, now clocker.Millis) bool {
	at, ok := x.hostDrainTimes[name]
	return ok && now >= at
}
