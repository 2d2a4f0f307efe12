package heartbeater

// HostOf returns the host part of an incarnation name.
func HostOf(incarnation string) string {
	head, _, _ := cutLastHyphen(incarnation)
	host, _, _ := cutLastHyphen(head)
	return host
}
