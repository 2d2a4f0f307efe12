package soaker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"cowsliphinge/clocker"
	"cowsliphinge/standin/server"
)

// softwareVersions are those that backend servers run, one of them without Config.Versions.
var softwareVersions = []string{"v1", "v2"}

// unframedShare is the part of the answers that have no length with Config.Deaths.
const unframedShare = 0.35

// backend is one incarnation of a backend server.
type backend struct {
	id       string
	zone     string
	address  string
	version  string
	born     clocker.Millis
	server   *server.Server
	listener net.Listener
	http     *http.Server
	listed   map[string]any

	// dead is true once the process has ended.
	dead atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// mortalListener accepts connections of a process that may end.
type mortalListener struct {
	net.Listener
	dead *atomic.Bool
}

// Accept implements net.Listener.
func (l mortalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return mortalConn{c.(*net.TCPConn), l.dead}, nil
}

// mortalConn sends nothing once its process has ended: a process that is dead answers on no connection, also while
// others of its connections are still being closed.
type mortalConn struct {
	*net.TCPConn
	dead *atomic.Bool
}

// Write implements net.Conn.
func (c mortalConn) Write(b []byte) (int, error) {
	if c.dead.Load() {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(b)
}

// addServer starts a backend server that never ran before and lists it.
func (w *world) addServer() error {
	w.mu.Lock()
	w.started++
	b := &backend{id: fmt.Sprintf("i-%d", w.started), zone: fmt.Sprint("z", w.started%2), address: "127.0.0.1:0", version: softwareVersions[0]}
	if w.cfg.Versions {
		b.version = softwareVersions[w.started/2%len(softwareVersions)]
	}
	w.mu.Unlock()
	if err := w.serveBackend(b); err != nil {
		return err
	}
	return w.list(b.id, b.listed)
}

// serveBackend starts the process of a backend server, born no sooner than b.born. Its entry is not
// written yet.
func (w *world) serveBackend(b *backend) error {
	l, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	b.listener, b.conns = l, map[net.Conn]bool{}
	b.address, b.born = l.Addr().String(), max(b.born, w.cfg.Clock.Now())
	cfg := server.Config{
		ID: b.id, Clock: w.cfg.Clock, Version: b.version, Born: int64(b.born), Events: streamEvents, Pause: eventPause,
		Ran: func(r server.Run) { w.record.ran(b.id, r) }, Seed: w.cfg.Seed,
	}
	if w.cfg.Deaths {
		cfg.UnframedShare = unframedShare
	}
	b.server = server.New(cfg)
	b.http = &http.Server{Handler: b.server, ErrorLog: quiet, ConnState: b.connState}
	b.listed = map[string]any{
		"service": "s", "address": b.address, "zone": b.zone, "slots": slots, "state": "ready",
		"version": b.version, "born": int64(b.born),
	}
	w.record.began(b.id, b.version, b.born)
	go func() { _ = b.http.Serve(mortalListener{l, &b.dead}) }() // ends by Close
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, b)
	return nil
}

func (b *backend) connState(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch s {
	case http.StateNew:
		b.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, c)
	}
}

// ending is how the process of a server ends.
type ending string

const (
	// byFin closes all connections at once, as the kernel does where nothing is unread.
	byFin ending = "by FIN"
	// byReset resets them.
	byReset ending = "by reset"
	// behindAnswers takes no more requests and ends once all answers are sent, within maxAnswer.
	behindAnswers ending = "behind its answers"
)

// maxAnswer is how long a server waits for its answers before it ends, in milliseconds.
const maxAnswer = 1 * clocker.Second

// die ends the process of the server. The listener closes first.
func (b *backend) die(how ending) {
	_ = b.listener.Close() // also if it is not served yet
	switch how {
	case byReset:
		b.mu.Lock()
		for c := range b.conns {
			_ = c.(mortalConn).SetLinger(0) // the connection may have ended
		}
		b.mu.Unlock()
	case behindAnswers:
		ctx, cancel := context.WithTimeout(context.Background(), maxAnswer.Duration())
		defer cancel()
		_ = b.http.Shutdown(ctx) // Close ends what is left
	}
	b.dead.Store(true)
	_ = b.http.Close()
}
