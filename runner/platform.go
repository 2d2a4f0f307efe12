package runner

import (
	"context"

	"cowsliphinge/chooser"
	"cowsliphinge/matcher"
	"cowsliphinge/relayer"
	"cowsliphinge/reserver"
	"cowsliphinge/storer"
	"cowsliphinge/watcher"
)

// Store is what a router needs of the platform's store.
type Store interface {
	watcher.Source
	reserver.Store
	// Peek reads an object at a low price, possibly as it was a while ago.
	Peek(ctx context.Context, key string) (storer.Object, error)
}

// Platform is the platform that a router runs on, as its adapter offers it.
type Platform struct {
	Store   Store
	Dialect relayer.HeaderNames
	// ReadyPath is where the balancer asks whether this host takes callers.
	ReadyPath string
	// Configuration is the key of the object that holds the declarations.
	Configuration string
	// Servers is the kind of the entries of backend servers.
	Servers string
	// Declaration and Server decode the objects of these kinds.
	Declaration func(storer.Object) (matcher.Declaration, error)
	Server      func(storer.Object) (chooser.Server, error)
	// Value decodes the bytes of our own that an object of a list holds.
	Value func(storer.Object) ([]byte, error)
}
