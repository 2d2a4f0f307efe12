package soaker

import (
	"bufio"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cowsliphinge/standin/server"
)

const head = "HTTP/1.1 200 OK\r\nId: a\r\nSigned: i-1.a\r\n"

func chunked(parts ...string) string {
	b := head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, part := range parts {
		b += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return b
}

func withLength(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func events(first, last int) string {
	b := ""
	for i := first; i <= last; i++ {
		b += server.Event(i, "a", "v1")
	}
	return b
}

// taken returns what a caller makes of the bytes of an answer.
func taken(path, answer string) request {
	q := request{id: "a", path: path, account: "one"}
	a, err := readAnswer(bufio.NewReader(strings.NewReader(answer)))
	q.take(a, err, "Signed", "Id")
	return q
}

// A caller's own resumption begins behind the events that it has.
func TestPlantedResumptionsAreFound(t *testing.T) {
	for want, body := range map[string]string{
		"":                                events(6, streamEvents),
		"got event 7 in place of 6":       events(7, streamEvents),
		"got event 1 in place of 6":       events(1, streamEvents),
		"ended whole after 5 of 12":       "",
		"ended whole after 11 of 12":      events(6, streamEvents-1),
		"what is no event: \"id: 6\\nd\"": "id: 6\nd",
	} {
		q := request{id: "a", path: "/stream/x", account: "one", after: 5}
		a, err := readAnswer(bufio.NewReader(strings.NewReader(chunked(body) + "0\r\n\r\n"))) // an empty part ends the body, too
		q.take(a, err, "Signed", "Id")
		found := strings.Join(checkAnswer(q), "\n")
		assert.Assert(t, strings.Contains(found, want) && (want != "" || found == ""), "%q is not in %q", want, found)
	}
}

// Guards against streams that lack events, hold others, or hold foreign bytes, and
// look complete (incident order-resumed-stream).
func TestPlantedAnswersAreFound(t *testing.T) {
	const end = "0\r\n\r\n"
	all := events(1, streamEvents)
	for name, c := range map[string]struct{ path, answer, want string }{
		"whole stream":                 {"/stream/x", chunked(events(1, 3), events(4, streamEvents)) + end, ""},
		"stream that breaks off":       {"/stream/x", chunked(events(1, 3)), ""},
		"within a chunk":               {"/stream/x", strings.TrimSuffix(chunked(events(1, 3)), "\n\n\r\n"), ""},
		"within an event":              {"/stream/x", chunked(events(1, 3) + "id: 4\nda"), ""},
		"before its first event":       {"/stream/x", chunked(), ""},
		"whole answer":                 {"/order/x", withLength("answer to a"), ""},
		"answer that breaks off":       {"/order/x", strings.TrimSuffix(withLength("answer to a"), "a"), ""},
		"failure":                      {"/stream/x", strings.Replace(withLength("status 500 for a"), "200 OK", "500 Failed", 1), ""},
		"failure without a body":       {"/stream/x", strings.Replace(withLength(""), "200 OK", "500 Failed", 1), ""},
		"no content":                   {"/read/x", strings.Replace(head, "200 OK", "204 No", 1) + "\r\n", ""},
		"too few events":               {"/stream/x", chunked(events(1, 7)) + end, "ended whole after 7 of 12 events"},
		"no event":                     {"/stream/x", chunked() + end, "ended whole after 0 of 12 events"},
		"failure in place of the rest": {"/stream/x", chunked(events(1, 7), "status 500 for a") + end, "no event: \"status 500 for a\""},
		"failure behind a broken one":  {"/stream/x", chunked(events(1, 7), "status 500 for a"), "no event: \"status 500 for a\""},
		"complete within an event":     {"/stream/x", chunked(all, "id: 13\nda") + end, "no event: \"id: 13\\nda\""},
		"event that comes twice":       {"/stream/x", chunked(events(1, 5), events(5, streamEvents)) + end, "got event 5 in place of 6"},
		"event that is missing":        {"/stream/x", chunked(events(1, 5), events(7, streamEvents)) + end, "got event 7 in place of 6"},
		"event too many":               {"/stream/x", chunked(all, events(13, 13)) + end, "ended whole after 13 of 12 events"},
		"event of another":             {"/stream/x", chunked(events(1, 11), server.Event(12, "b", "v1")) + end, "got the answer of another"},
		"event of another version":     {"/stream/x", chunked(events(1, 11), server.Event(12, "a", "v2")) + end, "holds events of software versions v1, v2"},
		"event of no version":          {"/stream/x", chunked(events(1, 11), server.Event(12, "a", "x")) + end, "no event: \"id: 12\\ndata: a x"},
		"within a version":             {"/stream/x", chunked(events(1, 3) + "id: 4\ndata: a v2"), ""},
		"answer without its end":       {"/order/x", withLength("answer t"), "the answer to request a ended whole and lacks its end"},
		"answer of another":            {"/order/x", withLength("answer to b"), "got the answer of another"},
		"signature for another":        {"/order/x", strings.Replace(withLength("answer to a"), "i-1.a", "i-1.b", 1), "got the answer of another"},
		"failure of another":           {"/order/x", strings.Replace(withLength("status 500 for b"), "200 OK", "500 Failed", 1), "got the answer of another"},
		"body without a frame":         {"/order/x", head + "\r\nanswer to a", "is no HTTP: malformed body"},
		"length and chunks":            {"/stream/x", strings.Replace(chunked(all)+end, "Id:", "Content-Length: 9\r\nId:", 1), "is no HTTP: malformed body"},
		"no chunk size":                {"/stream/x", chunked(all) + "z\r\n", "is no HTTP: malformed chunk size"},
		"chunk that is too long":       {"/stream/x", strings.Replace(chunked(all), "\n\n\r\n", "\n\n+\r\n", 1), "is no HTTP: malformed end of a chunk"},
		"trailer":                      {"/stream/x", chunked(all) + "0\r\nMore: 1\r\n\r\n", "is no HTTP: malformed end of a chunk"},
		"bare line feed":               {"/order/x", strings.Replace(withLength("answer to a"), "\r\n", "\n", 1), "is no HTTP: malformed line end"},
		"no status line":               {"/order/x", "answer to a\r\n", "is no HTTP: malformed status line"},
		"no header":                    {"/order/x", strings.Replace(withLength("answer to a"), "Id:", "Id", 1), "is no HTTP: malformed header line"},
	} {
		q := taken(c.path, c.answer)
		r := recorder{requests: []request{q}}
		found := strings.Join(append(checkAnswer(q), r.checkVersions()...), "\n")
		if c.want == "" {
			assert.Equal(t, found, "", name)
			continue
		}
		assert.Assert(t, strings.Contains(found, c.want), "%s: %q is not in %q", name, c.want, found)
	}
}
