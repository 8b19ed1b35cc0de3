package httpconn

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"testing"
)

// headGrammar is the head of a response by RFC 9112, as an expression over Latin-1. Lines may end in a line
// feed alone, and the blank before an empty reason may be missing.
var headGrammar = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9](?: [\t -~\x{80}-\x{ff}]*)?\r?\n` +
	`(?:(?:[!#$%&'*+\-.^_` + "`" + `|~0-9A-Za-z]+:|[ \t])[\t -~\x{80}-\x{ff}]*\r?\n)*\r?\n$`)

// latin1 returns a string with one rune for each byte.
func latin1(data []byte) string {
	runes := make([]rune, len(data))
	for i, b := range data {
		runes[i] = rune(b)
	}
	return string(runes)
}

// FuzzHead checks that what is taken for a head is one by the grammar, and that net/http, which reads it after
// that, reads all of it and nothing else.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\t\r\nD:\r\n\r\n",
		"HTTP/1.0 599\nA:b\n\n",
		"HTTP/1.1 000 Error\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 O\x7f\r\nA\x00: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\n \r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\r\n\r\n",
		"HTTP/1.1 200 \xff\r\n\xff: \xfe\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		head, err := readHead(bufio.NewReaderSize(bytes.NewReader(data), 16))
		if err != nil {
			return
		}
		if !bytes.HasPrefix(data, head) {
			t.Fatalf("%q is no prefix of %q", head, data)
		}
		if checkHead(head) != nil {
			return
		}
		if !headGrammar.MatchString(latin1(head)) {
			t.Fatalf("%q is no head", head)
		}
		reader := bufio.NewReader(bytes.NewReader(head))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		if reader.Buffered() > 0 {
			t.Fatalf("net/http ends the head %q before its last %d bytes", head, reader.Buffered())
		}
		for name := range response.Header {
			if !isToken([]byte(name)) {
				t.Fatalf("%q has a field with the name %q", head, name)
			}
		}
	})
}

// FuzzWholeHead checks that each head by the grammar is taken for one, unless it leaves open where its body
// ends.
func FuzzWholeHead(f *testing.F) {
	f.Add("200", "OK", "A", "b")
	f.Add("299", "", "x-9!", "\tc \xe9")
	f.Add("404", "\t", "Content-Length", "7")
	f.Fuzz(func(t *testing.T, status, reason, name, value string) {
		head := []byte("HTTP/1.1 " + status + " " + reason + "\r\n" + name + ":" + value + "\r\n\r\n")
		if !headGrammar.MatchString(latin1(head)) || status[0] == '1' || status == "204" {
			return
		}
		if err := checkHead(head); err != nil {
			t.Fatalf("%q: %v", head, err)
		}
	})
}
