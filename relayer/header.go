package relayer

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"cowsliphinge/chooser"
)

// hopByHopHeaders apply to one connection only and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// forwardableHeaders returns a copy of the headers without the hop-by-hop headers and
// those named by the Connection header.
func forwardableHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// bearerKey returns the bearer key of the Authorization header, or "".
func bearerKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// parsePromptParts parses the parts of a prompt. Invalid parts are skipped, since parts
// only influence the choice of a server. Further values of a part are ignored.
func parsePromptParts(header string) []chooser.PromptPart {
	if header == "" {
		return nil
	}
	var prompt []chooser.PromptPart
	for _, field := range strings.Split(header, ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(field), ":")
		size, _, _ = strings.Cut(size, ":")
		tokens, err := strconv.Atoi(strings.TrimSpace(size))
		if err != nil || id == "" || tokens < 0 {
			continue
		}
		prompt = append(prompt, chooser.PromptPart{ID: id, Tokens: tokens})
	}
	return prompt
}

// parseTokens parses the number of prompt tokens and the maximum of output tokens. Further
// figures are ignored: a request whose tokens are not read is not charged to its budget.
func parseTokens(header string) (prompt, output int64, ok bool) {
	first, second, found := strings.Cut(header, ",")
	if !found {
		return 0, 0, false
	}
	second, _, _ = strings.Cut(second, ",")
	prompt, err := strconv.ParseInt(strings.TrimSpace(first), 10, 64)
	if err != nil || prompt < 0 {
		return 0, 0, false
	}
	output, err = strconv.ParseInt(strings.TrimSpace(second), 10, 64)
	if err != nil || output < 0 {
		return 0, 0, false
	}
	return prompt, output, true
}

const (
	// loadFigures is the number of figures of a load: running requests, waiting requests and slots.
	loadFigures = 3
	// maxLoadFigure is far above the requests or slots of one server.
	maxLoadFigure = 1 << 20
	// usualSlowdown is the figure of a machine on which work takes as long as usual.
	usualSlowdown = 100
	// maxSlowdownFigure is far above the slowdown of a machine that still answers.
	maxSlowdownFigure = 100 * usualSlowdown
)

// parseLoad parses running requests, waiting requests and slots. Further figures are ignored. It
// returns nil if the header is invalid.
func parseLoad(header string) *chooser.Load {
	var n [loadFigures]int
	for i := range n {
		field, rest, more := strings.Cut(header, ",")
		value, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || value < 0 || value > maxLoadFigure || !more && i < loadFigures-1 {
			return nil
		}
		n[i], header = value, rest
	}
	return &chooser.Load{Running: n[0], Queued: n[1], Slots: n[2]}
}

// parseSlowdown parses the fourth figure of a load. It returns 1 if work takes as long as usual, 0 if
// there is no such figure, and false if it is invalid.
func parseSlowdown(header string) (float64, bool) {
	for range loadFigures {
		_, rest, more := strings.Cut(header, ",")
		if !more {
			return 0, true
		}
		header = rest
	}
	field, _, _ := strings.Cut(header, ",")
	figure, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
	if err != nil || !(figure > 0 && figure <= maxSlowdownFigure) {
		return 0, false
	}
	return figure / usualSlowdown, true
}
