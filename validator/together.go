package validator

import (
	"slices"

	"cowsliphinge/messenger"
)

// Together returns where the settings of a host differ from its declaration.
func Together(file string, s *messenger.Settings, d *messenger.Declarations) []*messenger.Finding {
	c := &checker{file: file}
	i := slices.IndexFunc(d.Hosts, func(h *messenger.Host) bool { return h.Name == s.Host })
	if i < 0 {
		c.add("$.Host", "no host is named %q in the declarations", s.Host)
		return c.findings
	}
	h := d.Hosts[i]
	c.declared("$.AvailabilityZone", s.AvailabilityZone, h.AvailabilityZone)
	c.declared("$.CallerAddress", s.CallerAddress, h.CallerAddress)
	c.declared("$.ExchangeAddress", s.ExchangeAddress, h.ExchangeAddress)
	return c.findings
}

func (c *checker) declared(path, value, declared string) {
	if value != declared {
		c.add(path, "is %q, declared is %q", value, declared)
	}
}
