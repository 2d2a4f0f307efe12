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

// Store is the part of the platform's store that a router needs.
type Store interface {
	watcher.Source
	reserver.Store
	// Peek is a cheap read of an object that may return an older version.
	Peek(ctx context.Context, key string) (storer.Object, error)
}

// Platform is the platform that a router runs on, provided by the platform's adapter.
type Platform struct {
	Store   Store
	Dialect relayer.HeaderNames
	// ReadyPath is the path of the balancer's readiness probes.
	ReadyPath string
	// ConfigurationKey is the key of the object that holds the declarations.
	ConfigurationKey string
	// ServerKind is the kind of the entries of backend servers.
	ServerKind string
	// DecodeDeclaration and DecodeServer decode the objects of these kinds.
	DecodeDeclaration func(storer.Object) (matcher.Declaration, error)
	DecodeServer      func(storer.Object) (chooser.Server, error)
	// DecodeValue returns the bytes that a router stored in an object of a list.
	DecodeValue func(storer.Object) ([]byte, error)
}
