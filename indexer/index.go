// Package indexer turns an accepted configuration into look-up tables that
// requests use. An Index never changes; a new version makes a new one.
package indexer

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// Index is one version of the configuration, ready for look-ups. All methods
// may be called from many goroutines.
type Index struct {
	Configuration *messenger.Configuration
	// Policy has its defaults filled in.
	Policy *messenger.Policy

	accountsByKey  map[string]*messenger.ClientAccount
	accounts       map[string]*messenger.ClientAccount
	services       map[string]*messenger.Service
	hosts          map[string]*messenger.Host
	serversByName  map[string]*messenger.BackendServer
	serversByGroup map[string][]*messenger.BackendServer
	leavingServers map[string]clocker.Millis
	leavingHosts   map[string]clocker.Millis
	budgets        []string
}

// New builds the index of a configuration, which must not change afterwards.
func New(cfg *messenger.Configuration) *Index {
	x := &Index{
		Configuration:  cfg,
		Policy:         withDefaults(cfg.GetDeclarations().GetPolicy()),
		accountsByKey:  map[string]*messenger.ClientAccount{},
		accounts:       map[string]*messenger.ClientAccount{},
		services:       map[string]*messenger.Service{},
		hosts:          map[string]*messenger.Host{},
		serversByName:  map[string]*messenger.BackendServer{},
		serversByGroup: map[string][]*messenger.BackendServer{},
		leavingServers: map[string]clocker.Millis{},
		leavingHosts:   map[string]clocker.Millis{},
	}
	x.addDeclarations(cfg.GetDeclarations())
	return x
}

func (x *Index) addDeclarations(d *messenger.Declarations) {
	for _, a := range d.GetClientAccounts() {
		x.accounts[a.Name] = a
		x.budgets = append(x.budgets, a.Budget)
		x.accountsByKey[a.KeySha256] = a
	}
	for _, s := range d.GetServices() {
		x.services[s.Name] = serviceWithDefaults(s)
	}
	for _, h := range d.GetHosts() {
		x.hosts[h.Name] = h
	}
	for _, b := range d.GetBackendServers() {
		x.serversByName[b.Name] = b
		x.serversByGroup[b.Service] = append(x.serversByGroup[b.Service], b)
	}
	for _, m := range d.GetMoves() {
		x.addMove(m)
	}
	slices.Sort(x.budgets)
	x.budgets = slices.Compact(x.budgets)
}

// addMove records when the leavings of a move that is carried out get no new work.
func (x *Index) addMove(m *messenger.Move) {
	if m.State != messenger.MoveState_STARTED && m.State != messenger.MoveState_FINISHED {
		return
	}
	for _, name := range m.LeavingBackendServers {
		x.leavingServers[name] = clocker.Millis(m.DrainAtMs)
	}
	for _, name := range m.LeavingHosts {
		x.leavingHosts[name] = clocker.Millis(m.DrainAtMs)
	}
}

// Version returns the version of the configuration.
func (x *Index) Version() int64 {
	return x.Configuration.GetVersion()
}

// HashKey returns the form in which declarations hold a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the client account of a bearer key, or nil. The look-up
// is by the key's hash, so its time tells nothing about the key itself.
func (x *Index) Authenticate(key string) *messenger.ClientAccount {
	return x.accountsByKey[HashKey(key)]
}

// ClientAccount returns a client account by name, or nil.
func (x *Index) ClientAccount(name string) *messenger.ClientAccount {
	return x.accounts[name]
}

// Budgets returns the budgets of all client accounts. It must not be changed.
func (x *Index) Budgets() []string {
	return x.budgets
}

// Service returns a service by name, defaults filled in, or nil.
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

// Host returns an entry host by name, or nil.
func (x *Index) Host(name string) *messenger.Host {
	return x.hosts[name]
}

// Hosts returns all declared entry hosts.
func (x *Index) Hosts() []*messenger.Host {
	return x.Configuration.GetDeclarations().GetHosts()
}

// BackendServer returns a backend server by name, or nil.
func (x *Index) BackendServer(name string) *messenger.BackendServer {
	return x.serversByName[name]
}

// BackendServers returns the backend servers of a service, leaving ones included.
func (x *Index) BackendServers(service string) []*messenger.BackendServer {
	return x.serversByGroup[service]
}

// ServerLeaving reports whether a backend server gets no new work at now.
func (x *Index) ServerLeaving(name string, now clocker.Millis) bool {
	at, ok := x.leavingServers[name]
	return ok && now >= at
}

// HostLeaving reports whether an entry host is to drain at now.
func (x *Index) HostLeaving(name string, now clocker.Millis) bool {
	at, ok := x.leavingHosts[name]
	return ok && now >= at
}
