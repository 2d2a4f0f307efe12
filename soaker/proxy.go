package soaker

import (
	"net"
	"sync"

	"cowsliphinge/clocker"
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
	listener net.Listener
	target   string
	clock    *clocker.Clock

	mu    sync.Mutex
	state proxyState
	conns map[net.Conn]bool
}

func newProxy(target string, clock *clocker.Clock) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, clock: clock, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed at the end of the run
			}
			go p.pass(c)
		}
	}()
	return p, nil
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
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) pass(down net.Conn) {
	up, err := net.Dial("tcp4", p.target)
	if err != nil {
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
