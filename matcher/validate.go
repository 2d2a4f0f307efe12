package matcher

import (
	"fmt"
	"strings"
)

// Validate returns a finding for each reason why the declaration can't be put in force, with
// its place; none for a valid one.
func (d Declaration) Validate() []string {
	var findings []string
	if d.Version <= 0 {
		findings = append(findings, fmt.Sprintf("version is %d, not positive", d.Version))
	}
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	for i, r := range d.Routes {
		for _, finding := range r.validate(services) {
			findings = append(findings, fmt.Sprintf("route %d (%s): %s", i, r.Name, finding))
		}
	}
	return findings
}

func (r *Route) validate(services map[string]bool) []string {
	var findings []string
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		findings = append(findings, fmt.Sprintf("path prefix is %q, not enclosed in slashes", r.PathPrefix))
	}
	for _, s := range r.Splits {
		if !services[s.Service] {
			findings = append(findings, fmt.Sprintf("service %q is not declared", s.Service))
		}
	}
	return findings
}
