package responder

import "strings"

// Body is the body of all responses with a success status.
const Body = "body"

// Shape is a response as a server sends it.
type Shape struct {
	Name string
	Text string
}

// sound returns a usual response with the given fields.
func sound(fields string) string {
	return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\n" + Body
}

// BrokenStatuses returns responses with a status or a version that no response has. Those that are not
// refused for it look like a success or hold one. fields are header lines with their line ends.
func BrokenStatuses(fields string) []Shape {
	var shapes []Shape
	for _, status := range []string{"000", "001", "099", "+20", "2x0", "20", "2000", "600", "999"} {
		head := "HTTP/1.1 " + status + " Status\r\n"
		shapes = append(shapes,
			Shape{"status " + status, head + fields + "Content-Length: 4\r\n\r\n" + Body},
			Shape{"status " + status + " before a response", head + fields + "\r\n" + sound(fields)},
			Shape{"status " + status + " with a response as its body", head + fields + "Content-Length: 500\r\n\r\n" + sound(fields)},
		)
	}
	for _, version := range []string{"HTTP/9.9", "HTTP/2.0", "HTTP/0.9", "HTTP/1", "HTTP/1.10", "http/1.1"} {
		shapes = append(shapes, Shape{"version " + version, strings.Replace(sound(fields), "HTTP/1.1", version, 1)})
	}
	return append(shapes,
		Shape{"switched protocols", "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + sound(fields)},
		Shape{"interim response with a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 500\r\n\r\n" + sound(fields)},
		Shape{"interim response with chunks", "HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + sound(fields)},
		Shape{"broken interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Status\r\n\r\n" + sound(fields)},
		Shape{"control byte in the reason phrase", strings.Replace(sound(fields), "OK", "O\x00K", 1)},
	)
}

// Sound returns unusual responses that are valid.
func Sound(fields string) []Shape {
	const ok = "HTTP/1.1 200 OK\r\n"
	shapes := []Shape{
		{"usual", sound(fields)},
		{"status 299", strings.Replace(sound(fields), "200", "299", 1)},
		{"no reason phrase", strings.Replace(sound(fields), "200 OK", "200", 1)},
		{"empty reason phrase", strings.Replace(sound(fields), "200 OK", "200 ", 1)},
		{"later minor version", strings.Replace(sound(fields), "HTTP/1.1", "HTTP/1.2", 1)},
		{"HTTP/1.0 with a length", strings.Replace(sound(fields), "HTTP/1.1", "HTTP/1.0", 1)},
		{"bytes above 0x7f in a value", sound(fields + "Name: \xff\x80\xc3\xa4\r\n")},
		{"tab in a value", sound(fields + "Name:\ta\tb\t\r\n")},
		{"empty value", sound(fields + "Name:\r\n")},
		{"folded line", sound(fields + "Name: a\r\n b\r\n\tc\r\n")},
		{"rare names", sound(fields + "!#$%&'*+-.^_`|~09: value\r\n")},
		{"chunks", ok + fields + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n3;a=b\r\nody\r\n0\r\n\r\n"},
		{"chunks in capitals", ok + fields + "TRANSFER-ENCODING:  Chunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{"blanks around a length", ok + fields + "Content-Length:" + strings.Repeat(" ", 40) + "4" + strings.Repeat("\t", 40) + "\r\n\r\n" + Body},
		{"trailer", ok + fields + "Transfer-Encoding: chunked\r\nTrailer: Name\r\n\r\n4\r\nbody\r\n0\r\nName: value\r\n\r\n"},
		{"interim response without a body", "HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n" + sound(fields)},
	}
	for _, status := range []string{"100", "102", "103", "110", "199"} {
		interim := "HTTP/1.1 " + status + " Interim\r\nLink: </a>\r\n\r\n"
		shapes = append(shapes, Shape{"interim responses " + status, interim + interim + sound(fields)})
	}
	return shapes
}
