// Package objects stands in for the operators' platform's store of objects: lists,
// watches, conditional writes and a bounded history, with faults on demand.
package objects

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"cowsliphinge/clocker"
)

// pageItems bounds one page of a list.
const pageItems = 500

// Object is one stored object as it goes over the wire.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata names an object and its last change.
type Metadata struct {
	Name      string `json:"name"`
	Revision  int64  `json:"revision"`
	CreatedAt int64  `json:"created_at"`
}

// event is one change of a kind.
type event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
}

// Store keeps objects in memory and is an http.Handler.
type Store struct {
	clock *clocker.Clock

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]Object
	history  []event
	// since is the oldest revision that a watch may start from.
	since   int64
	changed chan struct{}
	faults  Faults
	writes  int
	// era rises with each restore.
	era int64
	// calls counts the calls so far.
	calls int
}

// Copy is the content of a store at one moment.
type Copy struct {
	revision int64
	kinds    map[string]map[string]Object
}

// Copy returns a copy of the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, kinds: cloneKinds(s.kinds)}
}

// Restore replaces the content by a copy and starts a new era. What was written since the copy is
// gone, and revisions after it are given out again. What the operator and the backend servers wrote
// has to be written again by the caller.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = c.revision
	s.kinds = cloneKinds(c.kinds)
	s.history = slices.DeleteFunc(s.history, func(e event) bool { return e.Object.Metadata.Revision > c.revision })
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func cloneKinds(kinds map[string]map[string]Object) map[string]map[string]Object {
	clone := map[string]map[string]Object{}
	for kind, objects := range kinds {
		clone[kind] = maps.Clone(objects)
	}
	return clone
}

// Faults is what goes wrong from now on.
type Faults struct {
	// Status, unless 0, answers all calls; nothing is done.
	Status int
	// Silent calls get no answer, and nothing is done.
	Silent bool
	// LoseEvery n-th write is done and not answered; 0 loses none.
	LoseEvery int
}

// New returns an empty store.
func New(clock *clocker.Clock) *Store {
	return &Store{clock: clock, revision: 1, era: 1, kinds: map[string]map[string]Object{}, changed: make(chan struct{})}
}

// Break sets what goes wrong from now on; the zero value heals.
func (s *Store) Break(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Compact drops the history, so that watches have to list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.since = s.revision
	s.wake()
}

// Put writes an object as the operator or a backend server does.
func (s *Store) Put(kind, name string, spec any) error {
	content, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, Object{Metadata: Metadata{Name: name}, Spec: content})
	return nil
}

// Delete removes an object as the operator or a backend server does.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Read returns the content of an object, or nil.
func (s *Store) Read(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}

// Names returns the names of the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.kinds[kind]))
}

func (s *Store) put(kind string, o Object) Object {
	old, known := s.kinds[kind][o.Metadata.Name]
	if known && string(old.Spec) == string(o.Spec) {
		return old
	}
	s.revision++
	o.Metadata.Revision = s.revision
	o.Metadata.CreatedAt = old.Metadata.CreatedAt
	if !known {
		o.Metadata.CreatedAt = s.revision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]Object{}
	}
	s.kinds[kind][o.Metadata.Name] = o
	s.history = append(s.history, event{Object: o, kind: kind})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) {
	o, known := s.kinds[kind][name]
	if !known {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.history = append(s.history, event{Object: o, Deleted: true, kind: kind})
	s.wake()
}

// wake ends the waits of watches. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	kind, name, _ := strings.Cut(path, "/")
	if !ok || kind == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.mu.Lock()
	s.calls++
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if s.broken(w, r) {
		return
	}
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.Delete(kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// broken reports whether a fault ended the call.
func (s *Store) broken(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	switch {
	case f.Silent:
		_, _ = io.Copy(io.Discard, r.Body) // only then is a caller that leaves noticed
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return true
	}
	return false
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, known := s.kinds[kind][name]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []Object{}
	for _, o := range s.kinds[kind] {
		if o.Metadata.Name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	more := len(items) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageItems)], "has_more": more, "as_of": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	since, err := strconv.ParseInt(query.Get("watch"), 10, 64)
	wait, err2 := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := s.clock.WithTimeout(r.Context(), clocker.Millis(wait))
	defer cancel()
	for {
		s.mu.Lock()
		events, revision, gone, changed := s.events(kind, since), s.revision, since < s.since || since > s.revision, s.changed
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || ctx.Err() != nil:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) events(kind string, since int64) []event {
	events := []event{}
	for _, e := range s.history {
		if e.kind == kind && e.Object.Metadata.Revision > since {
			events = append(events, e)
		}
	}
	return events
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
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
	case r.Method == http.MethodPost && known || r.Method == http.MethodPut && known && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		s.mu.Unlock()
		answer(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !known:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	o = s.put(kind, o)
	s.writes++
	lost := s.faults.LoseEvery > 0 && s.writes%s.faults.LoseEvery == 0
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, o)
}

func answer(w http.ResponseWriter, status int, content any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(content) // a caller that has left needs no answer
}
