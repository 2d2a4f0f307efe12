package spreader_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/indexer"
	"cowsliphinge/messenger"
	"cowsliphinge/spreader"
	"cowsliphinge/validator"
)

// FuzzDeclarations decodes arbitrary bytes as a configuration from the platform or
// a peer. Indexing and validating it must not panic, and splitting and joining it
// must keep its items.
func FuzzDeclarations(f *testing.F) {
	for _, d := range []*messenger.Declarations{
		{ClientAccounts: []*messenger.ClientAccount{{Name: "b"}, {Name: "a"}, {}}, Services: []*messenger.Service{{Name: "s"}, {Name: "s"}}},
		{Moves: []*messenger.Move{{Name: "m", StartAtMs: -1 << 63, LeavingHosts: []string{"", "h"}}}, Policy: &messenger.Policy{HeadroomMs: -1}},
		{BackendServers: []*messenger.BackendServer{{}}, Hosts: []*messenger.Host{{}}, Models: []*messenger.Model{{}}},
	} {
		content, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		d := &messenger.Declarations{}
		if proto.Unmarshal(content, d) != nil {
			return
		}
		_, _ = spreader.Join([]*messenger.ConfigurationPart{{Key: "x", Value: content}}) // the key does not match
		indexer.New(&messenger.Configuration{Version: 1, Declarations: d})
		validator.Declarations("pulled", d)
		d.ProtoReflect().SetUnknown(nil)
		parts, err := spreader.Split(d)
		if err != nil {
			return
		}
		joined, err := spreader.Join(parts)
		assert.NilError(t, err)
		assert.Assert(t, len(joined.ClientAccounts) == len(d.ClientAccounts) && len(joined.Services) == len(d.Services) && len(joined.Moves) == len(d.Moves))
	})
}
