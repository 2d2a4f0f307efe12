package checker

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/gravitational/trace"
)

// maxLine bounds one line of a history file, in bytes.
const maxLine = 1 << 20

// Entry is one line of a history file; one field is set.
type Entry struct {
	Request *Request `json:",omitempty"`
	Run     *Run     `json:",omitempty"`
	Bill    *Bill    `json:",omitempty"`
	Budget  *Budget  `json:",omitempty"`
	TopUp   *TopUp   `json:",omitempty"`
	Leaving *Leaving `json:",omitempty"`
	Stop    *Stop    `json:",omitempty"`
	Version *Version `json:",omitempty"`
	Apply   *Apply   `json:",omitempty"`
	Service *Service `json:",omitempty"`
}

// Add appends an entry to the history.
func (h *History) Add(e Entry) {
	add(&h.Requests, e.Request)
	add(&h.Runs, e.Run)
	add(&h.Bills, e.Bill)
	add(&h.Budgets, e.Budget)
	add(&h.TopUps, e.TopUp)
	add(&h.Leavings, e.Leaving)
	add(&h.Stops, e.Stop)
	add(&h.Versions, e.Version)
	add(&h.Applies, e.Apply)
	add(&h.Services, e.Service)
}

func add[T any](list *[]T, item *T) {
	if item != nil {
		*list = append(*list, *item)
	}
}

// Recorder collects a history and writes it as JSON lines. It may be used by
// many goroutines.
type Recorder struct {
	mu      sync.Mutex
	history History
	out     *json.Encoder
	err     error
}

// NewRecorder returns a recorder that also writes to w, unless that is nil.
func NewRecorder(w io.Writer) *Recorder {
	r := &Recorder{}
	if w != nil {
		r.out = json.NewEncoder(w)
	}
	return r
}

// Record adds an entry.
func (r *Recorder) Record(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Add(e)
	if r.out != nil && r.err == nil {
		r.err = r.out.Encode(e)
	}
}

// History returns what was recorded, and the first error of writing it.
func (r *Recorder) History() (History, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history, trace.Wrap(r.err)
}

// ErrLines lists the lines of a history file that are not valid.
type ErrLines struct {
	// Findings name the line and what is wrong with it.
	Findings []string
}

// Error implements error.
func (err ErrLines) Error() string {
	return strings.Join(err.Findings, "\n")
}

// IsErrLines reports whether err is an ErrLines.
func IsErrLines(err error) bool {
	var target ErrLines
	return errors.As(err, &target)
}

// Read reads a history of JSON lines. It returns ErrLines with each line that
// is not valid.
func Read(r io.Reader) (History, error) {
	var h History
	var findings []string
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 1<<16), maxLine)
	for n := 1; lines.Scan(); n++ {
		e, err := parse(lines.Bytes())
		if err != nil {
			findings = append(findings, fmt.Sprintf("line %d: %v", n, err))
			continue
		}
		h.Add(e)
	}
	if err := lines.Err(); err != nil {
		return History{}, trace.Wrap(err)
	}
	if len(findings) > 0 {
		return History{}, ErrLines{Findings: findings}
	}
	return h, nil
}

func parse(line []byte) (Entry, error) {
	d := json.NewDecoder(strings.NewReader(string(line)))
	d.DisallowUnknownFields()
	var e Entry
	if err := d.Decode(&e); err != nil {
		return Entry{}, err
	}
	if e == (Entry{}) {
		return Entry{}, errors.New("no entry")
	}
	return e, nil
}
