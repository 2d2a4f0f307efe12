package heartbeater

// HostOf returns the host whose process life an incarnation names.
func HostOf(incarnation string) string {
	head, _, _ := cutLast(incarnation)
	host, _, _ := cutLast(head)
	return host
}
