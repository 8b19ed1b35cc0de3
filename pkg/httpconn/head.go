package httpconn

import (
	"bytes"
	"strings"

	"github.com/cobaltcroft/cobaltcroft/pkg/problem"
)

// remedyMalformed is what operators should do about a malformed response.
const remedyMalformed = "check what listens at the endpoint's address"

var (
	lineFeed = []byte("\n")
	blank    = []byte(" ")
)

// checkHead returns an error if the head of a response is not one of HTTP/1.1, or if it leaves open where its
// body ends. It is stricter than net/http, to which what is no response may look like the start of another
// one, and which passes over fields that it does not understand.
func checkHead(head []byte) error {
	first, fields, _ := bytes.Cut(head, lineFeed)
	f, err := parseStatusLine(trimReturn(first))
	if err != nil {
		return err
	}
	for line := range bytes.Lines(fields) {
		line = trimReturn(bytes.TrimSuffix(line, lineFeed))
		if len(line) == 0 {
			break
		}
		name, value, err := parseField(line)
		if err != nil {
			return err
		}
		f.add(name, value)
	}
	return f.check()
}

// parseStatusLine parses a status line: RFC 9112, section 4. The blank before an empty reason may be missing.
func parseStatusLine(line []byte) (framing, error) {
	version, rest, _ := bytes.Cut(line, blank)
	status, reason, _ := bytes.Cut(rest, blank)
	if !isVersion(version) || !isStatus(status) || !isText(reason) {
		return framing{}, problem.New(problem.Invalid, remedyMalformed, "malformed status line %.100q", line)
	}
	return framing{version: string(version), status: string(status)}, nil
}

// parseField parses a line of a field: RFC 9112, section 5. The name is empty if the line continues the value
// of the field before.
func parseField(line []byte) (name, value []byte, err error) {
	if !isText(line) {
		return nil, nil, problem.New(problem.Invalid, remedyMalformed, "a control byte in the line %.100q", line)
	}
	if line[0] == ' ' || line[0] == '\t' {
		return nil, bytes.Trim(line, " \t"), nil
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, problem.New(problem.Invalid, remedyMalformed, "malformed name of a field in the line %.100q", line)
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isToken reports whether text may be the name of a field: RFC 9110, section 5.6.2.
func isToken(text []byte) bool {
	return len(text) > 0 && !bytes.ContainsFunc(text, func(r rune) bool { return !isTokenRune(r) })
}

func isTokenRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return true
	}
	return strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

// isVersion reports whether text is a version of HTTP/1.
func isVersion(text []byte) bool {
	minor, found := bytes.CutPrefix(text, []byte("HTTP/1."))
	return found && len(minor) == 1 && isDigit(minor[0])
}

// isStatus reports whether text is a status code: RFC 9110, section 15.
func isStatus(text []byte) bool {
	return len(text) == 3 && '1' <= text[0] && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2])
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isText reports whether text may stand in a reason or in a field: it has no control bytes but tabs.
func isText(text []byte) bool {
	return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' })
}

// trimReturn returns a line without the carriage return before its line feed.
func trimReturn(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }
