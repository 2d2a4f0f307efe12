package runner

import (
	"context"

	"cowsliphinge/carrier"
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
	// GetStale is a cheap read of an object that may return an older version.
	GetStale(ctx context.Context, key string) (storer.Object, error)
}

// Platform is the platform that a router runs on, provided by the platform's adapter.
type Platform struct {
	Store   Store
	Dialect relayer.HeaderNames
	// StoreEra returns the latest era that the store named; nil for a store without eras.
	StoreEra func() int64
	// ReadyPath is the path of the balancer's readiness probes.
	ReadyPath string
	// ConfigurationKey is the key of the configuration object, which holds the
	// declaration.
	ConfigurationKey string
	// ServerKind is the kind of the entries of backend servers.
	ServerKind string
	// DecodeDeclaration decodes the configuration object, and DecodeServer an entry of a
	// backend server.
	DecodeDeclaration func(storer.Object) (matcher.Declaration, error)
	DecodeServer      func(storer.Object) (chooser.Server, error)
	// Identity asks model engines for their incarnation; nil asks none.
	Identity *carrier.Identity
	// DecodeValue returns the value of an object that List returned, as the router wrote
	// it.
	DecodeValue func(storer.Object) ([]byte, error)
}
