package runner

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cowsliphinge/carrier"
	"cowsliphinge/clocker"
	"cowsliphinge/detourer"
	"cowsliphinge/heartbeater"
	"cowsliphinge/tunneler"
)

const (
	// verifiedServers is the number of servers that a verification or a probe connects to.
	verifiedServers = 3
	// verifyingConns is the number of connections through other hosts that a verification opens to each of
	// its servers at once. Each goes through hosts of its own choice.
	verifyingConns = 3
	// maxUnreachable is the number of hosts that do not reach a server after which no further one is
	// tried for the connection.
	maxUnreachable = 4
	// directHeadStart is how long a verification waits for a direct connection before it tries other
	// hosts, in milliseconds: many round trips between availability zones.
	directHeadStart = 30 * clocker.Millis(1)
)

var (
	pathCuts       = metrics.NewCounter("cowsliphinge_backend_path_cuts_total")
	verifications  = metrics.NewCounter("cowsliphinge_backend_path_verifications_total")
	detouredConns  = metrics.NewCounter(`cowsliphinge_detoured_connections_total{outcome="opened"}`)
	failedDetours  = metrics.NewCounter(`cowsliphinge_detoured_connections_total{outcome="failed"}`)
	errNoOtherHost = errors.New("no other host offers a connection to the server")
)

// detourConfig configures a detour.
type detourConfig struct {
	Clock            *clocker.Clock
	Log              *slog.Logger
	AvailabilityZone string
	RouterKey        string
	// Peers returns the other hosts.
	Peers func() []heartbeater.Peer
	// Servers returns the backend servers that get new requests.
	Servers func() []carrier.Target
	// Changed is called when the path becomes cut or is restored.
	Changed func(cut bool)
	// DialTimeout bounds the direct connections of a verification or probe, in milliseconds.
	DialTimeout clocker.Millis
	// DialServer and DialHost connect directly; carrier.DialDirect and nil for tests.
	DialServer, DialHost tunneler.DialFunc
}

// detour implements carrier.Dialer. It connects to backend servers directly, or through other hosts
// while this host's own path to them is cut. It is safe for concurrent use.
type detour struct {
	cfg     detourConfig
	tunnels tunneler.Dialer
	// ctx ends the verifications and probes.
	ctx context.Context

	mu      sync.Mutex
	decider *detourer.Detourer
	// verifying is closed when the verification in progress ends; nil without one.
	verifying chan struct{}
	probing   bool
}

func newDetour(ctx context.Context, cfg detourConfig) *detour {
	return &detour{
		cfg:     cfg,
		ctx:     ctx,
		tunnels: tunneler.Dialer{RouterKey: cfg.RouterKey, Dial: cfg.DialHost},
		decider: detourer.New(rand.Uint64()),
	}
}

// cut reports whether the path to the servers is cut.
func (d *detour) cut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decider.Cut()
}

// Dial implements carrier.Dialer. A direct connection that fails may lead to a verification of the
// path; if that is cut, the connection is opened through another host.
func (d *detour) Dial(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, string, error) {
	if d.cut() {
		return d.dialThroughHost(ctx, address, timeout)
	}
	startedAt := d.cfg.Clock.Now()
	c, err := d.dialDirect(ctx, address, timeout)
	if err == nil || ctx.Err() != nil {
		return c, "", err
	}
	if !d.verifyAfterDial(ctx, startedAt, address) {
		return nil, "", err
	}
	return d.dialThroughHost(ctx, address, timeout)
}

// Usable implements carrier.Dialer. Connections through a host that stops or is cut off itself
// get no further request.
func (d *detour) Usable(via string) bool {
	cut := d.cut()
	if via == "" || !cut {
		return (via == "") != cut
	}
	for _, p := range d.cfg.Peers() {
		if p.Host == via {
			return detourer.Usable(p)
		}
	}
	return false
}

// Lost implements carrier.Dialer.
func (d *detour) Lost(via string) {
	if via != "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.verifying == nil && d.decider.VerifyAfterLoss(d.cfg.Clock.Now()) {
		d.startVerification("")
	}
}

// dialDirect connects directly and records a success.
func (d *detour) dialDirect(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, error) {
	c, err := d.cfg.DialServer(ctx, address, timeout)
	if err == nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.decider.Connected(d.cfg.Clock.Now())
	}
	return c, err
}

// dialForOthers connects directly for a tunnel of another host.
func (d *detour) dialForOthers(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, error) {
	startedAt := d.cfg.Clock.Now()
	c, err := d.dialDirect(ctx, address, timeout)
	if err != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.verifying == nil && d.decider.VerifyAfterDial(startedAt, d.cfg.Clock.Now()) {
			d.startVerification(address)
		}
	}
	return c, err
}

// dialThroughHost connects through the first host that reaches the server.
func (d *detour) dialThroughHost(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, string, error) {
	d.mu.Lock()
	hosts := d.decider.Hosts(d.cfg.Peers(), d.cfg.AvailabilityZone, d.cfg.Clock.Now())
	d.mu.Unlock()
	return d.dialThroughFirst(ctx, hosts, maxUnreachable, address, timeout)
}

// dialThroughFirst connects through the first of the hosts that reaches the server. A host that does not
// may be cut off itself, so that up to maxFailures of them are believed only together.
func (d *detour) dialThroughFirst(ctx context.Context, hosts []heartbeater.Peer, maxFailures int, address string, timeout clocker.Millis) (net.Conn, string, error) {
	err := errNoOtherHost
	var unreachable []heartbeater.Peer
	for _, p := range hosts {
		var c net.Conn
		c, err = d.tunnels.DialServer(ctx, p.ExchangeAddress, address, timeout)
		switch {
		case err == nil:
			detouredConns.Inc()
			d.hostsFailed(unreachable...)
			return c, p.Host, nil
		case ctx.Err() != nil:
			return nil, "", err
		case tunneler.IsErrHostUnavailable(err):
			d.hostsFailed(p)
		default:
			unreachable = append(unreachable, p)
		}
		if len(unreachable) == maxFailures {
			break
		}
	}
	failedDetours.Inc()
	return nil, "", err
}

func (d *detour) hostsFailed(hosts ...heartbeater.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range hosts {
		d.decider.HostFailed(p.ExchangeAddress, d.cfg.Clock.Now())
	}
}

// verifyAfterDial verifies the path after a failed direct connection, unless there is no reason to, and
// reports whether it is cut. Connections that fail meanwhile share one verification.
func (d *detour) verifyAfterDial(ctx context.Context, startedAt clocker.Millis, address string) bool {
	d.mu.Lock()
	if d.verifying == nil && d.decider.VerifyAfterDial(startedAt, d.cfg.Clock.Now()) {
		d.startVerification(address)
	}
	verifying := d.verifying
	d.mu.Unlock()
	if verifying != nil {
		select {
		case <-verifying:
		case <-ctx.Done():
		}
	}
	return d.cut()
}

// startVerification starts a verification; failed is the server that did not accept a connection, or "".
// The caller holds mu.
func (d *detour) startVerification(failed string) {
	done := make(chan struct{})
	d.verifying = done
	verifications.Inc()
	go func() {
		v := d.verify(failed)
		d.mu.Lock()
		becameCut := d.decider.Verified(v, d.cfg.Clock.Now())
		d.verifying = nil
		d.mu.Unlock()
		if becameCut {
			pathCuts.Inc()
			d.cfg.Log.Warn("path to the backend servers is cut, connecting through other hosts", "failed", failed)
			d.cfg.Changed(true)
		}
		close(done)
	}()
}

// verify connects to some servers directly and, if none accepts that soon, through other hosts. Servers that
// others reach are tried directly again, since all may have been down until then.
func (d *detour) verify(failed string) detourer.Verification {
	servers := d.sampleServers(failed)
	direct := make(chan bool, 1)
	go func() { direct <- d.anyConnects(servers, d.dialDirect) }()
	headStart, cancel := d.cfg.Clock.WithTimeout(d.ctx, directHeadStart)
	defer cancel()
	select {
	case connected := <-direct:
		if connected {
			return detourer.Verification{Direct: true}
		}
		direct <- false
	case <-headStart.Done():
	}
	detoured := servers
	if failed != "" {
		detoured = append(slices.Clone(servers[:min(len(servers), verifiedServers-1)]), failed)
	}
	elsewhere := d.anyConnects(slices.Repeat(detoured, verifyingConns), d.dialToVerify)
	if elsewhere && d.anyConnects(detoured, d.dialDirect) {
		return detourer.Verification{Direct: true}
	}
	return detourer.Verification{Direct: <-direct, Detour: elsewhere}
}

// dialToVerify connects through any of the hosts that a verification asks.
func (d *detour) dialToVerify(ctx context.Context, address string, timeout clocker.Millis) (net.Conn, error) {
	d.mu.Lock()
	hosts := d.decider.Verifiers(d.cfg.Peers(), d.cfg.AvailabilityZone, d.cfg.Clock.Now())
	d.mu.Unlock()
	c, _, err := d.dialThroughFirst(ctx, hosts, len(hosts), address, timeout)
	return c, err
}

// sampleServers returns the addresses of random servers without the one that has failed.
func (d *detour) sampleServers(failed string) []string {
	targets := d.cfg.Servers()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	var addresses []string
	for _, t := range targets {
		if len(addresses) < verifiedServers && t.Address != failed {
			addresses = append(addresses, t.Address)
		}
	}
	return addresses
}

// anyConnects reports whether a connection to one of the servers can be opened. All are tried at once.
func (d *detour) anyConnects(addresses []string, dial tunneler.DialFunc) bool {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	connected := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			c, err := dial(ctx, address, d.cfg.DialTimeout)
			if err == nil {
				_ = c.Close()
			}
			connected <- err == nil
		}()
	}
	for range addresses {
		if <-connected {
			return true
		}
	}
	return false
}

// probe starts a probe of a path that is cut, if one is due.
func (d *detour) probe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probing || !d.decider.ProbeDue(d.cfg.Clock.Now()) {
		return
	}
	d.probing = true
	go func() {
		connected := d.anyConnects(d.sampleServers(""), d.dialDirect)
		d.mu.Lock()
		restored := d.decider.Probed(connected, d.cfg.Clock.Now())
		d.probing = false
		d.mu.Unlock()
		if restored {
			d.cfg.Log.Info("path to the backend servers is restored")
			d.cfg.Changed(false)
		}
	}()
}
