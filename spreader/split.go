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
	// partPrefix starts the keys of parts in the Object API.
	partPrefix = "config/part/"
	// itemsPerPart is the mean number of items in a part.
	itemsPerPart = 64
	// partBytes closes a part that has grown to this size, in bytes.
	partBytes = 128 << 10
)

// item is one declared thing, alone in a message of its own.
type item struct {
	name string
	only *messenger.Declarations
}

// Split cuts declarations into parts named by their content. Items are ordered
// by kind and name, and a part ends behind an item whose name hashes so; a
// change of one item therefore replaces one part, or two where it moves a cut.
func Split(d *messenger.Declarations) ([]*messenger.ConfigurationPart, error) {
	var parts []*messenger.ConfigurationPart
	open := &messenger.Declarations{}
	size := 0
	for _, it := range items(d) {
		proto.Merge(open, it.only)
		size += proto.Size(it.only)
		if size < partBytes && !endsPart(it.name) {
			continue
		}
		part, err := seal(open)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		parts = append(parts, part)
		open, size = &messenger.Declarations{}, 0
	}
	if size == 0 && len(parts) > 0 {
		return parts, nil
	}
	last, err := seal(open)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(parts, last), nil
}

// Join puts parts together again, in their order.
func Join(parts []*messenger.ConfigurationPart) (*messenger.Declarations, error) {
	d := &messenger.Declarations{}
	for _, p := range parts {
		if err := checkPart(p); err != nil {
			return nil, trace.Wrap(err)
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(p.Value, d); err != nil {
			return nil, ErrBadPart{Key: p.Key, Reason: err.Error()}
		}
	}
	return d, nil
}

// Canonical returns a copy of declarations with each list ordered by name.
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

func items(d *messenger.Declarations) []item {
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

func endsPart(name string) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return mix(h.Sum64())%itemsPerPart == 0
}

// mix spreads the bits of a hash, so that its low bits depend on all of them.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func seal(d *messenger.Declarations) (*messenger.ConfigurationPart, error) {
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

func checkPart(p *messenger.ConfigurationPart) error {
	if partKey(p.Value) != p.Key {
		return ErrBadPart{Key: p.Key, Reason: "content does not match the key"}
	}
	return nil
}
