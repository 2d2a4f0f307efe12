package spreader

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"slices"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

const (
	// partPrefix is the prefix of the keys of parts in the Object API.
	partPrefix = "config/part/"
	// meanItemsPerPart is the mean number of items in a part.
	meanItemsPerPart = 64
	// closePartBytes is the size at which a part is closed. The last item may
	// carry the part beyond it.
	closePartBytes = 128 << 10
)

// item is one declared object, in a Declarations message that holds nothing else.
type item struct {
	name         string
	declarations *messenger.Declarations
}

// Split divides declarations into parts whose keys are hashes of their content.
// Items are ordered by kind and name. A part ends after an item whose name hashes
// to a boundary, or when it reaches closePartBytes. A change of one item
// therefore replaces one part, or two if it moves a boundary.
func Split(d *messenger.Declarations) ([]*messenger.ConfigurationPart, error) {
	var parts []*messenger.ConfigurationPart
	pending := &messenger.Declarations{}
	size := 0
	for _, it := range splitItems(d) {
		proto.Merge(pending, it.declarations)
		size += proto.Size(it.declarations)
		if size < closePartBytes && !isPartBoundary(it.name) {
			continue
		}
		closed, err := newPart(pending)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		parts = append(parts, closed)
		pending, size = &messenger.Declarations{}, 0
	}
	if size == 0 && len(parts) > 0 {
		return parts, nil
	}
	last, err := newPart(pending)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(parts, last), nil
}

// Join merges parts, in the given order, into declarations. It is the inverse of
// Split.
func Join(parts []*messenger.ConfigurationPart) (*messenger.Declarations, error) {
	d := &messenger.Declarations{}
	for _, p := range parts {
		if err := verifyPart(p); err != nil {
			return nil, trace.Wrap(err)
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(p.Value, d); err != nil {
			return nil, ErrBadPart{Key: p.Key, Reason: err.Error()}
		}
	}
	return d, nil
}

// Canonical returns a copy of declarations with each list sorted by name.
func Canonical(d *messenger.Declarations) *messenger.Declarations {
	c := &messenger.Declarations{}
	if d != nil {
		c = proto.CloneOf(d)
	}
	sortByName(c.ClientAccounts, (*messenger.ClientAccount).GetName)
	sortByName(c.Services, (*messenger.Service).GetName)
	sortByName(c.BackendServers, (*messenger.BackendServer).GetName)
	sortByName(c.Hosts, (*messenger.Host).GetName)
	sortByName(c.Models, (*messenger.Model).GetName)
	sortByName(c.Moves, (*messenger.Move).GetName)
	return c
}

func sortByName[T any](list []T, name func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

func splitItems(d *messenger.Declarations) []item {
	d = Canonical(d)
	list := []item{{"deployment", &messenger.Declarations{Deployment: d.Deployment, Policy: d.Policy}}}
	for _, a := range d.ClientAccounts {
		list = append(list, item{"a/" + a.Name, &messenger.Declarations{ClientAccounts: []*messenger.ClientAccount{a}}})
	}
	for _, s := range d.Services {
		list = append(list, item{"s/" + s.Name, &messenger.Declarations{Services: []*messenger.Service{s}}})
	}
	for _, b := range d.BackendServers {
		list = append(list, item{"b/" + b.Name, &messenger.Declarations{BackendServers: []*messenger.BackendServer{b}}})
	}
	for _, h := range d.Hosts {
		list = append(list, item{"h/" + h.Name, &messenger.Declarations{Hosts: []*messenger.Host{h}}})
	}
	for _, m := range d.Models {
		list = append(list, item{"m/" + m.Name, &messenger.Declarations{Models: []*messenger.Model{m}}})
	}
	for _, m := range d.Moves {
		list = append(list, item{"v/" + m.Name, &messenger.Declarations{Moves: []*messenger.Move{m}}})
	}
	return list
}

func isPartBoundary(name string) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mixBits(h.Sum64())%meanItemsPerPart == 0
}

// mixBits is the MurmurHash3 finalizer: each low bit of the result depends on all
// bits of x.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func newPart(d *messenger.Declarations) (*messenger.ConfigurationPart, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	key := partKey(value)
	if len(value) > storer.MaxValueBytes {
		return nil, storer.ErrTooLarge{Key: key, Bytes: len(value)}
	}
	return &messenger.ConfigurationPart{Key: key, Value: value}, nil
}

func partKey(value []byte) string {
	sum := sha256.Sum256(value)
	return partPrefix + hex.EncodeToString(sum[:])
}

func verifyPart(p *messenger.ConfigurationPart) error {
	if partKey(p.Value) != p.Key {
		return ErrBadPart{Key: p.Key, Reason: "content does not match the key"}
	}
	return nil
}
