// Package matcher finds the route and the client account of a request in one
// version of the declared routes. It decides without input or output.
package matcher

import (
	"slices"
	"strings"

	"cowsliphinge/clocker"
)

// Kind says what of a request may be repeated.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream answers with server-sent events; it counts as Unsafe unless the
	// route is resumable.
	Stream
)

// Route says where the requests of a host name and a path prefix go.
type Route struct {
	Name string
	// Host is compared without case and port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest that a caller is kept waiting.
	Timeout clocker.Millis
	// TargetLatency is the time to the answer, or to the first event, that
	// callers are to see.
	TargetLatency clocker.Millis
	// TargetGap is the longest pause between two events that callers are to see.
	TargetGap clocker.Millis
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Priority is 0 for the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server behind the last event.
	Resumable bool
	// Sticky routes carry prompts whose parts backend servers cache.
	Sticky bool
	Splits []Split
}

// Split sends a share of a route's requests to a service.
type Split struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service picks the service of a request by a number that is spread evenly.
func (r *Route) Service(n uint64) string {
	total := 0
	for _, s := range r.Splits {
		total += max(0, s.Weight)
	}
	if total == 0 {
		return ""
	}
	at := int(n % uint64(total))
	for _, s := range r.Splits {
		at -= max(0, s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is a group of backend servers that run the same requests.
type Service struct {
	Name string
	// MaxConnections that one backend server accepts from the whole fleet; 0 means
	// no bound is known.
	MaxConnections int
	// Engine is true for model engines.
	Engine bool
	// TokensPerEvent is how many tokens one event of a stream holds at most.
	TokensPerEvent int
	// CacheTokens is the memory of a model engine.
	CacheTokens int
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority goes before that of the route if HasPriority.
	Priority    int
	HasPriority bool
	// Prepaid is the total that the account may use; 0 with HasPrepaid false
	// means that nothing bounds it.
	Prepaid    int64
	HasPrepaid bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout clocker.Millis
	IdleTimeout   clocker.Millis
}

// Declaration is one version of everything that a Table looks up.
type Declaration struct {
	Version  int64
	Routes   []*Route
	Services []*Service
	Accounts []*Account
	Limits   Limits
}

// Table answers look-ups in one declaration.
type Table struct {
	Declaration
	byHost   map[string][]*Route
	byKey    map[string]*Account
	services map[string]*Service
	// resumable are the services of streams that callers may take up again, and longestStream is
	// the longest timeout of these.
	resumable     map[string]bool
	longestStream clocker.Millis
}

// New returns the look-up table of a declaration, which must not be changed
// afterwards.
func New(d Declaration) *Table {
	t := &Table{
		Declaration: d,
		byHost:      map[string][]*Route{},
		byKey:       map[string]*Account{},
		services:    map[string]*Service{},
		resumable:   map[string]bool{},
	}
	for _, r := range d.Routes {
		t.addStream(r)
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for _, a := range d.Accounts {
		for _, key := range a.Keys {
			t.byKey[key] = a
		}
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	return t
}

func (t *Table) addStream(r *Route) {
	if r.Kind != Stream || !r.Resumable {
		return
	}
	t.longestStream = max(t.longestStream, r.Timeout)
	for _, split := range r.Splits {
		t.resumable[split.Service] = true
	}
}

// Resumable reports whether callers may take streams of the service up again.
func (t *Table) Resumable(service string) bool {
	return t.resumable[service]
}

// LongestStream returns the longest timeout of such streams, in milliseconds.
func (t *Table) LongestStream() clocker.Millis {
	return t.longestStream
}

// Route returns the route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Account returns the client account of a key, or nil.
func (t *Table) Account(key string) *Account {
	return t.byKey[key]
}

// Service returns a service, or an empty one for an unknown name.
func (t *Table) Service(name string) *Service {
	if s := t.services[name]; s != nil {
		return s
	}
	return &Service{Name: name}
}

// NeedsKeys reports whether callers name a client account.
func (t *Table) NeedsKeys() bool {
	return len(t.Accounts) > 0
}

func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
