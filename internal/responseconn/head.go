package responseconn

import (
	"fmt"
	"regexp"
	"strings"
)

// A HeadError says why the head of a response is malformed.
type HeadError struct {
	// Reason is what is wrong, in a few words.
	Reason string
	// Line is the start of the malformed line, up to the place of the error or maxQuotedLine bytes.
	Line string
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("responseconn: malformed response head: %s: %q", e.Reason, e.Line)
}

// Reasons of a HeadError.
const (
	reasonStatusLine = "invalid status line"
	reasonFieldName  = "invalid name of a field"
	reasonLineEnd    = "lines end in different ways"
)

// maxQuotedLine is the maximum length of HeadError.Line, in bytes. It is enough for a status code behind its protocol.
const maxQuotedLine = 64

// A headState is what a headScanner expects next.
type headState int

const (
	// inStatusLine: a byte of the status line.
	inStatusLine headState = iota
	// atLine: the first byte of a field or of the empty line.
	atLine
	// inName: a further byte of a field's name, or the colon behind it.
	inName
	// inValue: a byte of a field's value.
	inValue
	// atEnd: the line feed of the empty line.
	atEnd
	// inBody: anything, since the head is complete.
	inBody
)

// A headScanner checks the heads of one response, informational ones included, while their bytes arrive. The zero headScanner
// is at the beginning of a response.
//
// net/http takes any three characters that form a number for a status and any digits for a version. It accepts names with blanks,
// joins a line that begins with a blank to the one before, and takes a line feed alone for the end of a line. Each of the last
// three can hide the field that states the length of the body.
type headScanner struct {
	state headState
	// line holds the start of the current line.
	line []byte
	// afterCR reports whether the last byte was a carriage return, crlf whether the status line ended with one before its
	// line feed.
	afterCR, crlf bool
	// informational reports whether another head follows this one.
	informational bool
	// failure is the first error.
	failure error
}

// begin returns a headScanner at the beginning of the next response.
func (s *headScanner) begin() headScanner { return headScanner{line: s.line[:0]} }

// scan checks the next bytes of a response. The error is a *HeadError, and the same for all later bytes.
func (s *headScanner) scan(p []byte) error {
	for _, b := range p {
		if s.state == inBody || s.failure != nil {
			break
		}
		if reason := s.next(b); reason != "" {
			s.failure = &HeadError{Reason: reason, Line: string(s.line)}
		}
	}
	return s.failure
}

// next checks the next byte and returns what is wrong with it, or an empty string.
func (s *headScanner) next(b byte) (reason string) {
	if len(s.line) < maxQuotedLine {
		s.line = append(s.line, b)
	}
	switch s.state {
	case inStatusLine:
		if b == '\n' {
			return s.endStatusLine()
		}
	case atLine:
		return s.beginLine(b)
	case inName:
		if b == ':' {
			s.state = inValue
		} else if !isTokenByte(b) {
			return reasonFieldName
		}
	case inValue:
		if b == '\n' {
			return s.endLine(atLine)
		}
	case atEnd:
		if b != '\n' {
			return reasonFieldName
		}
		return s.endHead()
	}
	s.afterCR = b == '\r'
	return ""
}

// endStatusLine handles the line feed of the status line. No request asks for another protocol, so that status 101 is invalid.
func (s *headScanner) endStatusLine() (reason string) {
	s.crlf = s.afterCR
	match := statusLinePattern.FindSubmatch(s.line)
	if match == nil || string(match[1]) == "101" {
		return reasonStatusLine
	}
	s.informational = match[1][0] == '1'
	return s.endLine(atLine)
}

// statusLinePattern matches the beginnings of valid status lines (RFC 9112, sections 2.3 and 4; RFC 9110, section 15). Its group
// is the status code. Servers may leave out the blank behind it.
var statusLinePattern = regexp.MustCompile(`^HTTP/1\.[0-9] ([1-5][0-9]{2})[ \r\n]`)

// beginLine handles the first byte of a line behind the status line.
func (s *headScanner) beginLine(b byte) (reason string) {
	switch {
	case b == '\r':
		s.state = atEnd
	case b == '\n':
		return s.endHead()
	case isTokenByte(b):
		s.state = inName
	default:
		return reasonFieldName
	}
	s.afterCR = b == '\r'
	return ""
}

// endHead handles the line feed of the empty line.
func (s *headScanner) endHead() (reason string) {
	if s.informational {
		return s.endLine(inStatusLine)
	}
	return s.endLine(inBody)
}

// endLine handles the line feed of a line and expects next after it.
func (s *headScanner) endLine(next headState) (reason string) {
	if s.afterCR != s.crlf {
		return reasonLineEnd
	}
	s.state, s.line, s.afterCR = next, s.line[:0], false
	return ""
}

// isTokenByte reports whether b may stand in the name of a field (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
