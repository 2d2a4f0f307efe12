package heartbeater

import (
	"strings"

	"cowsliphinge/messenger"
)

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '-')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// hostOf returns the host that a beat is about, or "" if it names none.
func hostOf(beat *messenger.Beat) string {
	if beat.Host != "" || beat.Incarnation == "" {
		return beat.Host
	}
	return HostOf(beat.Incarnation)
}
