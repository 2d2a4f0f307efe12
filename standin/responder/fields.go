package responder

import "strings"

// BrokenFields returns responses with a field that no response has.
func BrokenFields(fields string) []Shape {
	const chunks = "4\r\nbody\r\n0\r\n"
	var shapes []Shape
	for _, name := range []string{"Name ", "Name\t", "Na me", "Name\x01", "Na\x00me", "Name\x7f", "N\xc3\xa4me", "Na\rme", "", "N(a)me", "Name  "} {
		line := name + ": value\r\n"
		shapes = append(shapes,
			Shape{"name " + name, sound(fields + line)},
			Shape{"first name " + name, sound(line + fields)},
		)
	}
	for _, value := range []string{"a\x01b", "a\x00b", "a\x7fb", "a\rb"} {
		shapes = append(shapes, Shape{"value " + value, sound(fields + "Name: " + value + "\r\n")})
	}
	const ok, old = "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n"
	return append(shapes,
		Shape{"line without a colon", sound(fields + "Name\r\n")},
		Shape{"folded first line", ok + " Name: value\r\n" + strings.TrimPrefix(sound(fields), ok)},
		Shape{"blank in the name of an interim response", "HTTP/1.1 103 Early Hints\r\nName : value\r\n\r\n" + sound(fields)},
		Shape{"chunks behind a blank", ok + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunks + "\r\n"},
		Shape{"length behind a blank", ok + fields + "Content-Length : 4\r\n\r\n" + Body},
		Shape{"length behind a blank and chunks", ok + fields + "Content-Length : 9\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		Shape{"chunks of HTTP/1.0", old + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		Shape{"chunks of HTTP/1.0 with a length", old + fields + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n" + chunks + "\r\n"},
		Shape{"chunks of HTTP/1.2", "HTTP/1.2 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		Shape{"chunks twice", ok + fields + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"},
		Shape{"folded length", ok + fields + "Content-Length: 4\r\n 2\r\n\r\n" + Body},
		Shape{"unknown transfer encoding", ok + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks + "\r\n"},
		Shape{"different lengths", ok + fields + "Content-Length: 4\r\nContent-Length: 2\r\n\r\n" + Body},
		Shape{"list of lengths", ok + fields + "Content-Length: 4, 2\r\n\r\n" + Body},
		Shape{"signed length", ok + fields + "Content-Length: +4\r\n\r\n" + Body},
		Shape{"empty length", ok + fields + "Content-Length:\r\n\r\n" + Body},
		Shape{"blank in the name of a trailer", ok + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "Name : value\r\n\r\n"},
		Shape{"control byte in the name of a trailer", ok + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "Na\x01me: value\r\n\r\n"},
		Shape{"trailer without a colon", ok + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "Name\r\n\r\n"},
	)
}
