package picker

// hashString returns the 64-bit FNV-1a hash of a name. It is the same on every host.
func hashString(name string) uint64 {
	hash := uint64(14695981039346656037)
	for i := range len(name) {
		hash ^= uint64(name[i])
		hash *= 1099511628211
	}
	return hash
}

// rendezvousWeight returns the weight of a server for a prefix in rendezvous hashing: the
// server with the highest weight is chosen, so adding or removing a server moves only the
// prefixes of that server.
func rendezvousWeight(server, prefix uint64) uint64 {
	x := server ^ (prefix * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
