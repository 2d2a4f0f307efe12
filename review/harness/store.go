package main

import (
	"cowsliphinge/clocker"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// pageItems bounds one page of a list.
const pageItems = 500

type metadata struct {
	Name      string `json:"name"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created_at"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// store stands in for the platform's metadata store. It keeps its whole history and never fails.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]object
	history  []storeEvent
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 1, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
	l := listen()
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }() // ends with the program
	return s
}

func listen() net.Listener {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	return l
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	if err != nil {
		fatal("%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: content})
}

// write stores an object. The caller holds mu.
func (s *store) write(kind string, o object) object {
	old, known := s.kinds[kind][o.Metadata.Name]
	if known && string(old.Spec) == string(o.Spec) {
		return old
	}
	s.revision++
	o.Metadata.Revision = s.revision
	o.Metadata.CreatedAt = s.revision
	if known {
		o.Metadata.CreatedAt = old.Metadata.CreatedAt
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, storeEvent{Object: o, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP answers one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case !ok || kind == "":
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.change(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, known := s.kinds[kind][name]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "has_more": more, "as_of": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := clock.WithTimeout(r.Context(), clocker.Millis(wait))
	defer cancel()
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
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
	switch {
	case r.Method == http.MethodPost && known, r.Method == http.MethodPut && known && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		s.mu.Unlock()
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !known:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o = s.write(kind, o)
	s.mu.Unlock()
	reply(w, http.StatusOK, o)
}

func reply(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content) // a caller that has left needs no answer
}
