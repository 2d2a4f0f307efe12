package runner

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cowsliphinge/messenger"
	"cowsliphinge/storer"
)

// listStore is a store that only supports List.
type listStore struct {
	Store
	objects []storer.Object
}

func (l listStore) List(context.Context, string, bool) ([]storer.Object, int64, error) {
	return l.objects, 1, nil
}

// Guards against one malformed entry hiding all other hosts.
func TestHostListSkipsMalformedEntries(t *testing.T) {
	valid, err := proto.Marshal(&messenger.Host{Name: "host-a", ExchangeAddress: "10.0.0.1:7"})
	assert.NilError(t, err)
	list := hostList{log: slog.New(slog.NewTextHandler(io.Discard, nil)), platform: Platform{
		Store: listStore{objects: []storer.Object{{Key: "hosts/odd", Value: []byte("\xff")}, {Key: "hosts/none"}, {Key: "hosts/host-a", Value: valid}}},
		DecodeValue: func(o storer.Object) ([]byte, error) {
			if o.Value == nil {
				return nil, errors.New("no value")
			}
			return o.Value, nil
		},
	}}
	got, err := list.Hosts(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []storer.ListedHost{{Name: "host-a", Address: "10.0.0.1:7"}})
}
