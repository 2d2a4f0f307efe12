package heartbeater

import (
	"strconv"
	"strings"

	"cowsliphinge/clocker"
	"cowsliphinge/messenger"
)

// startedAt returns the start time that an incarnation ID carries, or 0 if it
// has another form than `<host>-<start in hexadecimal milliseconds>-<random>`.
func startedAt(incarnation string) clocker.Millis {
	head, _, ok := cutLast(incarnation)
	if !ok {
		return 0
	}
	_, start, ok := cutLast(head)
	if !ok {
		return 0
	}
	ms, err := strconv.ParseInt(start, 16, 64)
	if err != nil {
		return 0
	}
	return clocker.Millis(ms)
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '-')
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+1:], true
}

// replaces reports whether incarnation a of a host is a later one than b. Equal
// start times are ordered by name, so that all hosts choose the same one.
func replaces(a, b string) bool {
	if startedAt(a) != startedAt(b) {
		return startedAt(a) > startedAt(b)
	}
	return a > b
}

// hostOf returns the host that a beat is about, or "" if it names none.
func hostOf(beat *messenger.Beat) string {
	if beat.Host != "" || beat.Incarnation == "" {
		return beat.Host
	}
	return HostOf(beat.Incarnation)
}
