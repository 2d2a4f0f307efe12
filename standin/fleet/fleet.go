// Package fleet starts a whole deployment inside one process on loopback: the
// stand-in platform, the stand-in backend servers, and the real routers. It
// lets hosts die and availability zones be cut off.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"cowsliphinge/clocker"
	"cowsliphinge/exchanger"
	"cowsliphinge/messenger"
	"cowsliphinge/router"
	"cowsliphinge/standin/application"
	"cowsliphinge/standin/engine"
	"cowsliphinge/standin/platform"
	"cowsliphinge/storer"
)

// Keys that all routers of a fleet share.
const (
	OperatorKey = "operator-key-of-the-stand-in-fleet"
	RouterKey   = "router-key-of-the-stand-in-fleet"
)

// Config configures a Fleet.
type Config struct {
	// Declarations of the deployment; their addresses are replaced by free
	// loopback ports.
	Declarations *messenger.Declarations
	Clock        *clocker.Clock
	Log          *slog.Logger
	// Engine is the kind of engine behind each language server; its name,
	// clock, models and slots come from the declarations.
	Engine engine.Config
	// Application is the kind of server behind each application service.
	Application application.Config
}

// Fleet is a running deployment.
type Fleet struct {
	// Declarations with the addresses in use.
	Declarations *messenger.Declarations
	Platform     *platform.Store
	Engines      map[string]*engine.Engine
	Applications map[string]*application.Server

	cfg         Config
	network     *network
	platformURL string
	servers     []*fasthttp.Server

	mu      sync.Mutex
	routers map[string]*router.Router
	// kept holds the ports of hosts that have not started yet, by address.
	kept map[string]net.Listener
}

// Start starts the stand-ins. Routers are started by StartHost.
func Start(cfg Config) (*Fleet, error) {
	f := &Fleet{
		Declarations: proto.CloneOf(cfg.Declarations),
		Platform:     platform.New(cfg.Clock),
		Engines:      map[string]*engine.Engine{},
		Applications: map[string]*application.Server{},
		cfg:          cfg,
		network:      newNetwork(),
		routers:      map[string]*router.Router{},
		kept:         map[string]net.Listener{},
	}
	address, err := f.listen(f.Platform.Handler)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	f.platformURL = "http://" + address
	f.network.place(address, "platform")
	for _, b := range f.Declarations.BackendServers {
		if err := f.startBackend(b); err != nil {
			f.Stop()
			return nil, trace.Wrap(err)
		}
	}
	if err := f.placeHosts(); err != nil {
		f.Stop()
		return nil, trace.Wrap(err)
	}
	return f, nil
}

// Stop ends all stand-ins and kills the routers that still run.
func (f *Fleet) Stop() {
	for name := range f.Routers() {
		f.KillHost(name)
	}
	for _, e := range f.Engines {
		e.Close()
	}
	for _, a := range f.Applications {
		a.Close()
	}
	for _, s := range f.servers {
		_ = s.Shutdown()
	}
	for _, l := range f.kept {
		_ = l.Close()
	}
}

// StartHost starts the router of a declared host.
func (f *Fleet) StartHost(ctx context.Context, name string) error {
	host := f.host(name)
	if host == nil {
		return trace.Wrap(fmt.Errorf("host %s is not declared", name))
	}
	settings := &messenger.Settings{
		Host:             name,
		AvailabilityZone: host.AvailabilityZone,
		CallerAddress:    host.CallerAddress,
		ExchangeAddress:  host.ExchangeAddress,
		PlatformUrl:      f.platformURL,
		OperatorKey:      OperatorKey,
		RouterKey:        RouterKey,
	}
	for _, other := range f.Declarations.Hosts {
		if other.Name != name {
			settings.Peers = append(settings.Peers, other.ExchangeAddress)
		}
	}
	r, err := router.New(ctx, router.Config{
		Settings:         settings,
		Clock:            f.cfg.Clock,
		Log:              f.cfg.Log.With("host", name),
		Network:          f.network,
		CallerListener:   f.take(host.CallerAddress),
		ExchangeListener: f.take(host.ExchangeAddress),
	})
	if err != nil {
		return trace.Wrap(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[name] = r
	f.listHosts()
	return nil
}

// Routers returns the routers that run, by host name.
func (f *Fleet) Routers() map[string]*router.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	running := make(map[string]*router.Router, len(f.routers))
	for name, r := range f.routers {
		running[name] = r
	}
	return running
}

// KillHost ends a router as a crash would.
func (f *Fleet) KillHost(name string) {
	if r := f.remove(name); r != nil {
		_ = r.Kill()
	}
}

// DrainHost stops a router gracefully and reports whether nothing was cut.
func (f *Fleet) DrainHost(ctx context.Context, name string) bool {
	r := f.Routers()[name]
	if r == nil {
		return false
	}
	report := r.Drain(ctx)
	f.remove(name)
	return report.Clean()
}

// CutOff separates an availability zone from all others and the platform.
func (f *Fleet) CutOff(zone string) {
	f.network.cut(zone, true)
}

// Reconnect ends a CutOff.
func (f *Fleet) Reconnect(zone string) {
	f.network.cut(zone, false)
}

// Commander returns the operators' commands at a host.
func (f *Fleet) Commander(host string) messenger.Commander {
	client := exchanger.NewHTTPClient(OperatorKey, nil)
	return messenger.NewCommanderProtobufClient("http://"+f.host(host).ExchangeAddress, client)
}

// Querier returns the operators' queries at a host.
func (f *Fleet) Querier(host string) messenger.Querier {
	client := exchanger.NewHTTPClient(OperatorKey, nil)
	return messenger.NewQuerierProtobufClient("http://"+f.host(host).ExchangeAddress, client)
}

func (f *Fleet) remove(name string) *router.Router {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.routers[name]
	delete(f.routers, name)
	f.listHosts()
	return r
}

// listHosts tells the platform which hosts live. The caller holds mu.
func (f *Fleet) listHosts() {
	var listed []storer.ListedHost
	for _, h := range f.Declarations.Hosts {
		if f.routers[h.Name] != nil {
			listed = append(listed, storer.ListedHost{Name: h.Name, Address: h.ExchangeAddress})
		}
	}
	f.Platform.SetHosts(listed)
}

func (f *Fleet) host(name string) *messenger.Host {
	for _, h := range f.Declarations.Hosts {
		if h.Name == name {
			return h
		}
	}
	return nil
}

func (f *Fleet) startBackend(b *messenger.BackendServer) error {
	var handler fasthttp.RequestHandler
	if len(b.Models) > 0 {
		e := f.newEngine(b)
		f.Engines[b.Name] = e
		handler = e.Handler
	} else {
		cfg := f.cfg.Application
		cfg.Name = b.Name
		cfg.Clock = f.cfg.Clock
		a := application.New(cfg)
		f.Applications[b.Name] = a
		handler = a.Handler
	}
	address, err := f.listen(handler)
	if err != nil {
		return trace.Wrap(err)
	}
	b.Address = address
	f.network.place(address, b.AvailabilityZone)
	return nil
}

func (f *Fleet) newEngine(b *messenger.BackendServer) *engine.Engine {
	cfg := f.cfg.Engine
	cfg.Name = b.Name
	cfg.Clock = f.cfg.Clock
	cfg.Models = b.Models
	if b.Slots > 0 {
		cfg.Slots = int(b.Slots)
	}
	return engine.New(cfg)
}

func (f *Fleet) listen(handler fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: silent{}}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }() // ends with Stop
	return l.Addr().String(), nil
}

// placeHosts gives each host two free ports.
func (f *Fleet) placeHosts() error {
	for _, h := range f.Declarations.Hosts {
		caller, err := f.keepPort()
		if err != nil {
			return err
		}
		exchange, err := f.keepPort()
		if err != nil {
			return err
		}
		h.CallerAddress = caller
		h.ExchangeAddress = exchange
		f.network.place(caller, h.AvailabilityZone)
		f.network.place(exchange, h.AvailabilityZone)
		f.network.placeHost(h.Name, h.AvailabilityZone)
	}
	return nil
}

// keepPort opens a free port and keeps it for a host.
func (f *Fleet) keepPort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := l.Addr().String()
	f.kept[address] = l
	return address, nil
}

// take returns the listener that is kept for an address, or nil.
func (f *Fleet) take(address string) net.Listener {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.kept[address]
	delete(f.kept, address)
	return l
}

// silent drops the HTTP library's own log lines.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}
