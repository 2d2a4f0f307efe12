package soaker

import (
	"net"
	"sync"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/refuser"
)

// proxyState is what a proxy does to bytes.
type proxyState struct {
	// dropUp and dropDown swallow bytes towards the target and back; connections
	// stay open and silent.
	dropUp, dropDown bool
	// delay holds each piece up, in milliseconds.
	delay clocker.Millis
}

// proxy passes connections on to a target over loopback and can harm them.
type proxy struct {
	listener *refuser.Listener
	target   string
	clock    *clocker.Clock
	// refusals counts those who want connections to be refused.
	refusals int

	mu    sync.Mutex
	state proxyState
	conns map[net.Conn]bool
}

func newProxy(target string, clock *clocker.Clock) (*proxy, error) {
	l, err := refuser.Listen()
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, clock: clock, conns: map[net.Conn]bool{}}
	go p.accept(l.Listener)
	return p, nil
}

// accept passes connections on until the listener is closed.
func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

// refuse makes the address refuse connections, and resets the open ones, until accepts is called.
func (p *proxy) refuse() {
	p.mu.Lock()
	p.refusals++
	if p.refusals == 1 {
		_ = p.listener.Close()
	}
	p.mu.Unlock()
	p.reset()
}

// accepts ends a call of refuse.
func (p *proxy) accepts() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusals--
	if p.refusals > 0 {
		return nil
	}
	if err := p.listener.Listen(); err != nil {
		return err
	}
	go p.accept(p.listener.Listener) // ends when the listener is closed
	return nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) set(s proxyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

func (p *proxy) now() proxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reset ends all connections without a farewell.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		setReset(c)
		_ = c.Close()
	}
	clear(p.conns)
}

// setReset makes a connection end by a reset when it is closed.
func setReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

func (p *proxy) close() {
	_ = p.listener.Release()
	p.reset()
}

func (p *proxy) pass(down net.Conn) {
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
		setReset(down)
		_ = down.Close()
		return
	}
	p.mu.Lock()
	p.conns[down], p.conns[up] = true, true
	p.mu.Unlock()
	go p.copy(up, down, func(s proxyState) bool { return s.dropUp })
	p.copy(down, up, func(s proxyState) bool { return s.dropDown })
}

func (p *proxy) copy(to, from net.Conn, dropped func(proxyState) bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		state := p.now()
		if state.delay > 0 {
			p.clock.SleepUncancellable(state.delay)
		}
		if !dropped(state) {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
