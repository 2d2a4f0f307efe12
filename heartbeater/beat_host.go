package heartbeater

import (
	"strings"

	"cowsliphinge/messenger"
)

// cutLastHyphen slices s around its last hyphen. Without one it returns s, "", false.
func cutLastHyphen(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '-')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// beatHost returns the host that a beat describes, or "" if the beat names none. Forwarded
// beats may contain only the incarnation.
func beatHost(beat *messenger.Beat) string {
	if beat.Host != "" || beat.Incarnation == "" {
		return beat.Host
	}
	return HostOf(beat.Incarnation)
}
