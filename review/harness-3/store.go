package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is an object of the platform's store as it goes over the wire.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	CreatedAt  int64    `json:"created_at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// storeDelay is how long the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// store stands in for the platform's metadata store (PROTOCOL.md).
type store struct {
	address string
	server  *http.Server

	// down is true while the store answers 503 to all calls.
	down atomic.Bool

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	history  []storeEvent
	changed  chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // until close
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
}

// put writes an object as the operator or a server does, and returns its revision.
func (s *store) put(kind, name string, spec any) int64 {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are made by the cases
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(kind, object{Metadata: metadata{Name: name}, Spec: content}).Metadata.Revision
}

// remove removes an object as a server does that has left.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	if !known {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.history = append(s.history, storeEvent{Object: o, Deleted: true, kind: kind})
	s.wake()
}

// read returns the spec of an object, nil without one.
func (s *store) read(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

// set writes an object. The caller holds mu.
func (s *store) set(kind string, o object) object {
	old, known := s.kinds[kind][o.Metadata.Name]
	if known && string(old.Spec) == string(o.Spec) {
		return old
	}
	s.revision++
	o.Metadata.Revision, o.Metadata.CreatedAt = s.revision, s.revision
	if known {
		o.Metadata.CreatedAt = old.Metadata.CreatedAt
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, storeEvent{Object: o, kind: kind})
	s.wake()
	return o
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sleep(storeDelay)
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case !ok || kind == "":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && name != "":
		s.serveOne(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		s.serveList(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) serveOne(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, known := s.kinds[kind][name]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	sendJSON(w, http.StatusOK, o)
}

func (s *store) serveList(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := slices.Sorted(maps.Keys(s.kinds[kind]))
	items := []object{}
	for _, name := range names {
		if name > after {
			items = append(items, s.kinds[kind][name])
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sendJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := after(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			sendJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name != "" {
		o.Metadata.Name = name
	}
	s.mu.Lock()
	old, known := s.kinds[kind][o.Metadata.Name]
	exists := r.Method == http.MethodPost && known
	other := r.Method == http.MethodPut && known && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision
	switch {
	case exists || other:
		s.mu.Unlock()
		sendJSON(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !known:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o = s.set(kind, o)
	s.mu.Unlock()
	sendJSON(w, http.StatusOK, o)
}

func sendJSON(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content) // a caller that has left needs no answer
}
