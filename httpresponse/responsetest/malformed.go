package responsetest

import "strings"

// Form is a malformed response.
type Form struct {
	Name string
	// Text is the whole response as sent.
	Text string
	// ByNetHTTP is true if net/http refuses the response, with errors of its own.
	ByNetHTTP bool
}

const (
	framed  = "Content-Length: 5\r\n\r\nhello"
	chunked = "\r\n5\r\nhello\r\n0\r\n\r\n"
	ok      = "HTTP/1.1 200 OK\r\n"
)

// Malformed returns responses that no reader may take for an answer. The fields, each ended by CRLF, are part of the head of each.
func Malformed(fields string) []Form {
	good := ok + fields + framed
	return []Form{
		{"status 000", "HTTP/1.1 000 None\r\n" + fields + framed, false},
		{"status 000 without a body", "HTTP/1.1 000 None\r\n" + fields + "Content-Length: 0\r\n\r\n", false},
		{"status 000 before a response", "HTTP/1.1 000 None\r\n\r\n" + good, false},
		{"status 099 before a response", "HTTP/1.1 099 None\r\n\r\n" + good, false},
		{"signed status before a response", "HTTP/1.1 +20 None\r\n\r\n" + good, false},
		{"unexpected change of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + good, false},
		{"status 600", "HTTP/1.1 600 More\r\n" + fields + framed, false},
		{"status 600 without a body", "HTTP/1.1 600 More\r\n" + fields + "Content-Length: 0\r\n\r\n", false},
		{"status 999", "HTTP/1.1 999 More\r\n" + fields + framed, false},
		{"status of four digits", "HTTP/1.1 2000 OK\r\n" + fields + framed, false},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\n" + fields + framed, false},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n" + fields + framed, false},
		{"blank after the name of the length", ok + fields + "Content-Length : 5\r\n\r\nhelloEXTRA", false},
		{"blank after the name of the coding", ok + fields + "Transfer-Encoding : chunked\r\n" + chunked, false},
		{"blank after the name of the coding, and a length", ok + fields + "Content-Length: 15\r\nTransfer-Encoding : chunked\r\n" + chunked, false},
		{"blank in a name", ok + fields + "Foo Bar: x\r\n" + framed, false},
		{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\r\nFoo Bar: x\r\n\r\n" + good, false},
		{"tab after a name", ok + fields + "Foo\t: x\r\n" + framed, false},
		{"control byte in a name", ok + fields + "Fo\x01o: x\r\n" + framed, false},
		{"NUL in a name", ok + fields + "Fo\x00o: x\r\n" + framed, false},
		{"bare CR in a name", ok + fields + "Fo\ro: x\r\n" + framed, false},
		{"high byte in a name", ok + fields + "Fo\xffo: x\r\n" + framed, false},
		{"no name", ok + fields + ": x\r\n" + framed, false},
		{"control byte in a value", ok + fields + "Foo: x\x01\r\n" + framed, true},
		{"two lengths", ok + fields + "Content-Length: 4\r\n" + framed, true},
		{"two codings", ok + fields + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + chunked, true},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n" + chunked, false},
		{"chunks in HTTP/1.0, and a length", "HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n" + chunked, false},
		{"blank in a name of a trailer", ok + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nFoo Bar: x\r\n\r\n", false},
		{"more lines than are read", ok + fields + strings.Repeat("a:\r\n", 2000) + framed, false},
	}
}

// WellFormed returns unusual responses with the body "hello" that are answers.
func WellFormed(fields string) []Form {
	return []Form{
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + fields + framed, false},
		{"HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\n" + fields + "\r\nhello", false},
		{"no reason", "HTTP/1.1 200\r\n" + fields + framed, false},
		{"lines that end with LF", strings.ReplaceAll(ok+fields+framed, "\r\n", "\n"), false},
		{"continued line", ok + fields + "X-Folded: a\r\n b c: d\r\n" + framed, false},
		{"trailer", ok + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nFoo: x\r\n\r\n", false},
		{"many fields", ok + fields + strings.Repeat("Set-Cookie: a=b\r\n", 200) + framed, false},
		{"long field", ok + fields + "X-Long: " + strings.Repeat("x", 30<<10) + "\r\n" + framed, false},
	}
}
