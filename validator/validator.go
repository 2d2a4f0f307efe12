// Package validator checks what declarations and settings mean, on top of the
// checks of form in package decoder. All findings are reported together, each
// with its file and JSON path.
package validator

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"cowsliphinge/messenger"
)

const (
	// maxName bounds a name, in bytes.
	maxName = 63
	// maxTokens bounds an amount of tokens of one request or call.
	maxTokens = 1 << 40
	// maxMs bounds a duration: 30 days in milliseconds.
	maxMs = 30 * 24 * 3600 * 1000
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Declarations returns everything that is wrong with declarations; file is the
// name that the findings carry.
func Declarations(file string, d *messenger.Declarations) []*messenger.Finding {
	c := &checker{file: file, d: d, addresses: map[string]string{}}
	c.name("$.Deployment", d.Deployment)
	c.clientAccounts()
	c.services()
	c.models()
	c.hosts()
	c.backendServers()
	c.modelServices()
	c.moves()
	c.policy()
	return c.findings
}

// checker collects findings of one set of declarations.
type checker struct {
	file     string
	d        *messenger.Declarations
	findings []*messenger.Finding
	// addresses maps each address in use to its path.
	addresses map[string]string
}

func (c *checker) add(path, format string, args ...any) {
	c.findings = append(c.findings, &messenger.Finding{File: c.file, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) name(path, name string) {
	switch {
	case name == "":
		c.add(path, "must be set")
	case len(name) > maxName:
		c.add(path, "is longer than %d bytes", maxName)
	case !namePattern.MatchString(name):
		c.add(path, "may hold letters, digits, dots, hyphens and underscores only")
	}
}

// unique checks the name of item i of a list against the items before it.
func (c *checker) unique(seen map[string]int, list string, i int, name string) {
	path := fmt.Sprintf("$.%s[%d].Name", list, i)
	c.name(path, name)
	if first, ok := seen[name]; ok && name != "" {
		c.add(path, "is also the name of $.%s[%d]", list, first)
		return
	}
	seen[name] = i
}

func (c *checker) bounds(path string, value, low, high int64) {
	if value < low || value > high {
		c.add(path, "must be from %d to %d", low, high)
	}
}

// address checks an IP address with port, used once in all declarations.
func (c *checker) address(path, address string) {
	parsed, err := netip.ParseAddrPort(address)
	switch {
	case address == "":
		c.add(path, "must be set")
		return
	case err != nil:
		c.add(path, "must be an IP address and port")
		return
	case parsed.Port() == 0:
		c.add(path, "must name a port above 0")
		return
	case parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast():
		c.add(path, "must be the address of one machine")
		return
	}
	if other, ok := c.addresses[parsed.String()]; ok {
		c.add(path, "is also the address of %s", other)
		return
	}
	c.addresses[parsed.String()] = path
}

func (c *checker) clientAccounts() {
	seen := map[string]int{}
	hashes := map[string]int{}
	for i, a := range c.d.ClientAccounts {
		path := fmt.Sprintf("$.ClientAccounts[%d]", i)
		c.unique(seen, "ClientAccounts", i, a.Name)
		c.name(path+".Budget", a.Budget)
		c.bounds(path+".Weight", a.Weight, 0, 1000)
		if !hashPattern.MatchString(a.KeySha256) {
			c.add(path+".KeySha256", "must be 64 lower-case hexadecimal digits")
			continue
		}
		if first, ok := hashes[a.KeySha256]; ok {
			c.add(path+".KeySha256", "is also the key hash of $.ClientAccounts[%d]", first)
			continue
		}
		hashes[a.KeySha256] = i
	}
}

func (c *checker) services() {
	seen := map[string]int{}
	for i, s := range c.d.Services {
		path := fmt.Sprintf("$.Services[%d]", i)
		c.unique(seen, "Services", i, s.Name)
		if s.Kind == messenger.ServiceKind_SERVICE_KIND_UNSPECIFIED {
			c.add(path+".Kind", "must be LANGUAGE or APPLICATION")
		}
		if s.Name == "v1" {
			c.add(path+".Name", "v1 is taken by the language interface")
		}
		if s.Kind == messenger.ServiceKind_LANGUAGE && s.TokensPerCall != 0 {
			c.add(path+".TokensPerCall", "is for application services only")
		}
		if s.Kind == messenger.ServiceKind_APPLICATION && s.MaxOutputTokens != 0 {
			c.add(path+".MaxOutputTokens", "is for language services only")
		}
		c.bounds(path+".TokensPerCall", s.TokensPerCall, 0, maxTokens)
		c.bounds(path+".MaxOutputTokens", s.MaxOutputTokens, 0, maxTokens)
		c.bounds(path+".QueueLimit", s.QueueLimit, 0, 1<<20)
		c.bounds(path+".ProgressTimeoutMs", s.ProgressTimeoutMs, 0, maxMs)
		c.bounds(path+".DefaultDeadlineMs", s.DefaultDeadlineMs, 0, maxMs)
	}
}

func (c *checker) models() {
	seen := map[string]int{}
	for i, m := range c.d.Models {
		path := fmt.Sprintf("$.Models[%d]", i)
		c.unique(seen, "Models", i, m.Name)
		c.bounds(path+".SizeMb", m.SizeMb, 0, 1<<30)
		for j, adapter := range m.Adapters {
			c.name(fmt.Sprintf("%s.Adapters[%d]", path, j), adapter)
		}
	}
}

func (c *checker) hosts() {
	seen := map[string]int{}
	for i, h := range c.d.Hosts {
		path := fmt.Sprintf("$.Hosts[%d]", i)
		c.unique(seen, "Hosts", i, h.Name)
		c.name(path+".AvailabilityZone", h.AvailabilityZone)
		c.address(path+".CallerAddress", h.CallerAddress)
		c.address(path+".ExchangeAddress", h.ExchangeAddress)
	}
}

func (c *checker) backendServers() {
	seen := map[string]int{}
	zones := map[string]bool{}
	for _, h := range c.d.Hosts {
		zones[h.AvailabilityZone] = true
	}
	for i, b := range c.d.BackendServers {
		path := fmt.Sprintf("$.BackendServers[%d]", i)
		c.unique(seen, "BackendServers", i, b.Name)
		c.address(path+".Address", b.Address)
		c.name(path+".AvailabilityZone", b.AvailabilityZone)
		c.bounds(path+".Slots", b.Slots, 0, 1<<16)
		if b.AvailabilityZone != "" && !zones[b.AvailabilityZone] {
			c.add(path+".AvailabilityZone", "no host is declared in %s", b.AvailabilityZone)
		}
		c.serverService(path, b)
	}
}

func (c *checker) serverService(path string, b *messenger.BackendServer) {
	i := slices.IndexFunc(c.d.Services, func(s *messenger.Service) bool { return s.Name == b.Service })
	if i < 0 {
		c.add(path+".Service", "no service is named %q", b.Service)
		return
	}
	language := c.d.Services[i].Kind == messenger.ServiceKind_LANGUAGE
	if language && len(b.Models) == 0 {
		c.add(path+".Models", "a language server must serve a model")
	}
	if !language && (len(b.Models) > 0 || b.Role != "") {
		c.add(path+".Models", "models and roles are for language servers only")
	}
	for j, model := range b.Models {
		if !slices.ContainsFunc(c.d.Models, func(m *messenger.Model) bool { return m.Name == model }) {
			c.add(fmt.Sprintf("%s.Models[%d]", path, j), "no model is named %q", model)
		}
	}
}

// modelServices checks that each model is served by one language service, as
// callers name the model alone.
func (c *checker) modelServices() {
	serviceOf := map[string]string{}
	for i, b := range c.d.BackendServers {
		for j, model := range b.Models {
			first, ok := serviceOf[model]
			if ok && first != b.Service {
				c.add(fmt.Sprintf("$.BackendServers[%d].Models[%d]", i, j), "model %s is served by service %s already", model, first)
				continue
			}
			serviceOf[model] = b.Service
		}
	}
}

func (c *checker) policy() {
	p := c.d.Policy
	if p == nil {
		return
	}
	c.bounds("$.Policy.HeadroomMs", p.HeadroomMs, 0, maxMs)
	c.bounds("$.Policy.OfflineReserveMs", p.OfflineReserveMs, 0, maxMs)
	c.bounds("$.Policy.MaxShareOfRestMilli", p.MaxShareOfRestMilli, 0, 1000)
	c.bounds("$.Policy.BusyShareOfRestMilli", p.BusyShareOfRestMilli, 0, 1000)
	c.bounds("$.Policy.PatienceMs", p.PatienceMs, 0, maxMs)
	c.bounds("$.Policy.RetryPercent", p.RetryPercent, 0, 100)
	c.bounds("$.Policy.PlatformCallsPerSecond", p.PlatformCallsPerSecond, 0, 1000)
	c.bounds("$.Policy.WeightStoreMbPerSecond", p.WeightStoreMbPerSecond, 0, 1<<30)
	c.bounds("$.Policy.BalancerDelayMs", p.BalancerDelayMs, 0, maxMs)
	c.bounds("$.Policy.StopBoundMs", p.StopBoundMs, 0, maxMs)
	c.bounds("$.Policy.AnswerRetentionMs", p.AnswerRetentionMs, 0, maxMs)
	c.bounds("$.Policy.AffinitySpanServers", p.AffinitySpanServers, -1, 1_000_000)
	c.bounds("$.Policy.FloorTokens", p.FloorTokens, 0, maxTokens)
	if p.OfflineReserveMs != 0 && p.HeadroomMs > p.OfflineReserveMs {
		c.add("$.Policy.OfflineReserveMs", "must be at least HeadroomMs")
	}
}
