package recorder

import (
	"maps"
	"slices"

	"cowsliphinge/clocker"
)

// admitTimeout is how long a server of a new version waits for the record of the store, in
// milliseconds. Without the store it is used all the same: a fleet without servers is worse.
const admitTimeout = 2 * clocker.Second

// Versions tracks which software versions of each service may have begun streams that still go on. It
// is not safe for concurrent use.
type Versions struct {
	// recordRead is true once the record of the store was read: other hosts may have used
	// versions that this one never saw.
	recordRead bool
	byService  map[string]map[string]*versionState
}

// versionState is a version of a service.
type versionState struct {
	// firstSeen and lastSeen are when this host first and last knew a server of it; 0 for never.
	firstSeen, lastSeen clocker.Millis
	// recordedAt is when this host learned that the store's record has it; 0 if it has it not.
	recordedAt clocker.Millis
}

// NewVersions returns Versions without any version.
func NewVersions() *Versions {
	return &Versions{byService: map[string]map[string]*versionState{}}
}

func (v *Versions) state(service, software string) *versionState {
	versions := v.byService[service]
	if versions == nil {
		versions = map[string]*versionState{}
		v.byService[service] = versions
	}
	if versions[software] == nil {
		versions[software] = &versionState{}
	}
	return versions[software]
}

// Seen records that a server of the version is known.
func (v *Versions) Seen(service, software string, now clocker.Millis) {
	s := v.state(service, software)
	if s.firstSeen == 0 || s.recordedAt == 0 && now-s.lastSeen > admitTimeout { // it is back after it was gone
		s.firstSeen = now
	}
	s.lastSeen = now
}

// Used records that streams begin at servers of the version, or are about to. Unlike Seen it does not take a version
// for one that came back, so that the version stays admitted.
func (v *Versions) Used(service, software string, now clocker.Millis) {
	s := v.state(service, software)
	if s.firstSeen == 0 {
		s.firstSeen = now
	}
	s.lastSeen = now
}

// ApplyRecord applies the record of the store: the versions of each service.
func (v *Versions) ApplyRecord(record map[string][]string, now clocker.Millis) {
	v.recordRead = true
	for service, versions := range v.byService {
		for software, s := range versions {
			if !slices.Contains(record[service], software) {
				s.recordedAt = 0
			}
		}
	}
	for service, versions := range record {
		for _, software := range versions {
			if s := v.state(service, software); s.recordedAt == 0 {
				s.recordedAt = now
			}
		}
	}
}

// Record returns what the record of the store has to hold: the versions that were in use within
// lifetime, as far as this host knows.
func (v *Versions) Record(lifetime, now clocker.Millis) map[string][]string {
	record := map[string][]string{}
	for service, versions := range v.byService {
		for software, s := range versions {
			if s.inUse(lifetime, now) {
				record[service] = append(record[service], software)
			}
		}
		slices.Sort(record[service])
	}
	return record
}

// inUse reports whether a stream that the version began may still go on.
func (s *versionState) inUse(lifetime, now clocker.Millis) bool {
	return s.lastSeen > 0 && now-s.lastSeen <= lifetime || s.recordedAt > 0 && now-max(s.recordedAt, s.lastSeen) <= lifetime
}

// Waiting reports whether servers of a version wait for the record of the store, and since when the
// first one does.
func (v *Versions) Waiting(now clocker.Millis) (since clocker.Millis, waiting bool) {
	for versions := range maps.Values(v.byService) {
		for s := range maps.Values(versions) {
			if s.firstSeen > 0 && s.recordedAt == 0 && now-s.lastSeen <= admitTimeout && (!waiting || s.firstSeen < since) {
				since, waiting = s.firstSeen, true
			}
		}
	}
	return since, waiting
}

// Outdated reports whether the record of the store names a version that is not in use any more.
func (v *Versions) Outdated(lifetime, now clocker.Millis) bool {
	for versions := range maps.Values(v.byService) {
		for s := range maps.Values(versions) {
			if s.recordedAt > 0 && !s.inUse(lifetime, now) {
				return true
			}
		}
	}
	return false
}

// Admitted reports whether requests may be sent to servers of the version: the record of the store has
// it, or can't be written.
func (v *Versions) Admitted(service, software string, now clocker.Millis) bool {
	s := v.byService[service][software]
	return s != nil && (s.recordedAt > 0 || s.firstSeen > 0 && now-s.firstSeen >= admitTimeout)
}

// Only returns the only version of a service that can have begun a stream which still goes on, and
// false if there are several or if that is not known.
func (v *Versions) Only(service string, lifetime, now clocker.Millis) (string, bool) {
	if !v.recordRead {
		return "", false
	}
	only, n := "", 0
	for software, s := range v.byService[service] {
		if s.inUse(lifetime, now) {
			only = software
			n++
		}
	}
	return only, n == 1
}

// Several reports whether any service may have streams of several versions.
func (v *Versions) Several(lifetime, now clocker.Millis) bool {
	for service := range v.byService {
		n := 0
		for s := range maps.Values(v.byService[service]) {
			if s.inUse(lifetime, now) {
				n++
			}
		}
		if n > 1 {
			return true
		}
	}
	return false
}
