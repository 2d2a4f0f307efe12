package relayer

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"cowsliphinge/chooser"
)

// connectionHeaders concern one connection and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// passedOn returns a copy of the headers without those of the connection.
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

// bearerKey returns the key of an Authorization header, or "".
func bearerKey(h http.Header) string {
	scheme, key, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// parsePrompt reads the parts of a prompt. Parts that can't be read are left out:
// they only steer the choice of a server.
func parsePromptParts(header string) []chooser.Part {
	if header == "" {
		return nil
	}
	var prompt []chooser.Part
	for _, field := range strings.Split(header, ",") {
		id, size, _ := strings.Cut(strings.TrimSpace(field), ":")
		tokens, err := strconv.Atoi(size)
		if err != nil || id == "" || tokens < 0 {
			continue
		}
		prompt = append(prompt, chooser.Part{ID: id, Tokens: tokens})
	}
	return prompt
}

// parseTokens reads the tokens of the prompt and the most to generate.
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

// parseLoad reads running and waiting requests and slots, or returns nil.
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
	return &chooser.Load{Running: n[0], Waiting: n[1], Slots: n[2]}
}
