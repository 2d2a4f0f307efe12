package heartbeater

// HostOf returns the host whose process life an incarnation names.
func HostOf(incarnation string) string {
	head, _, _ := cutLast(incarnation)
	host, _, _ := cutLast(head)
	return host
}

// Replaces reports whether incarnation a is a later life of the host of b.
func Replaces(a, b string) bool {
	return a != b && HostOf(a) == HostOf(b) && replaces(a, b)
}
