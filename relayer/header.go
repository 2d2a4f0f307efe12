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
// only influence the choice of a server.
func parsePromptParts(header string) []chooser.PromptPart {
	if header == "" {
		return nil
	}
	var prompt []chooser.PromptPart
	for _, field := range strings.Split(header, ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(size)
		if err != nil || id == "" || tokens < 0 {
			continue
		}
		prompt = append(prompt, chooser.PromptPart{ID: id, Tokens: tokens})
	}
	return prompt
}

// parseTokens parses the number of prompt tokens and the maximum of output tokens.
func parseTokens(header string) (prompt, output int64, ok bool) {
	first, second, found := strings.Cut(header, ",")
	if !found {
		return 0, 0, false
	}
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

// parseLoad parses running requests, waiting requests and slots. It returns nil if the
// header is invalid.
func parseLoad(header string) *chooser.Load {
	fields := strings.Split(header, ",")
	if len(fields) != 3 {
		return nil
	}
	var n [3]int
	for i, field := range fields {
		value, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || value < 0 {
			return nil
		}
		n[i] = value
	}
	return &chooser.Load{Running: n[0], Queued: n[1], Slots: n[2]}
}
