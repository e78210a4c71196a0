// Package http1 decides what is an HTTP/1.1 response. Readers pass it the bytes of a head or
// a trailer section before they parse them, so that all of them refuse the same ones. It
// opens no sockets.
//
// Sources: RFC 9110 sections 5.1, 5.5 and 15; RFC 9112 sections 2.2, 4, 5 and 6.3.
package http1

import (
	"bytes"

	"github.com/pkg/errors"
)

// Errors of bytes that are no response.
var (
	ErrStatusLine = errors.New("status line of the response is malformed")
	ErrStatus     = errors.New("status of the response is not a number from 100 to 999")
	ErrSwitching  = errors.New("response switches to another protocol, which no request has asked for")
	ErrFieldName  = errors.New("name of a response field is empty or holds a blank, a control byte or another invalid byte")
	ErrFieldValue = errors.New("value of a response field holds a control byte")
)

const (
	// minFinalStatus is the smallest status of a final response.
	minFinalStatus = 200
	// switchingProtocols is the status of a response that ends HTTP on its connection (RFC 9110,
	// section 15.2.2). It is interim to a client that has not asked for that.
	switchingProtocols = "101"
	// maxStatus is the largest status with three digits.
	maxStatus = 999
)

// CheckFinal returns an error for a status and fields that are not those of a final response. It
// serves responses that another host has read and passes on.
func CheckFinal(status int, fields [][2]string) error {
	if status < minFinalStatus || status > maxStatus {
		return ErrStatus
	}
	for _, f := range fields {
		if !isToken([]byte(f[0])) {
			return ErrFieldName
		}
		if !isText([]byte(f[1])) {
			return ErrFieldValue
		}
	}
	return nil
}

// CheckHead returns an error for a head that is none of a response to a request without Upgrade,
// as all requests of this host are. head includes the empty line at its end.
func CheckHead(head []byte) error {
	line, fields := cutLine(head)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	return CheckFields(fields)
}

// checkStatusLine checks a line like "HTTP/1.1 200 OK".
func checkStatusLine(line []byte) error {
	const version = "HTTP/1.x"
	if len(line) < len(version)+1 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || !isDigit(line[len(version)-1]) || line[len(version)] != ' ' {
		return ErrStatusLine
	}
	code, reason, _ := bytes.Cut(line[len(version)+1:], []byte(" "))
	if len(code) != 3 || code[0] == '0' || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return ErrStatus
	}
	if !isText(reason) {
		return ErrStatusLine
	}
	if string(code) == switchingProtocols {
		return ErrSwitching
	}
	return nil
}

// CheckFields returns an error for a section of header or trailer fields that holds a line
// that is none. section includes the empty line at its end.
func CheckFields(section []byte) error {
	for len(section) > 0 {
		var line []byte
		if line, section = cutLine(section); len(line) == 0 {
			return nil
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isToken(name) {
			return ErrFieldName
		}
		if !isText(value) {
			return ErrFieldValue
		}
	}
	return nil
}

// cutLine returns the first line of b without its end, and what follows.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r")), rest
}

// sectionEnd returns the length of the lines of b up to and including the first empty one,
// 0 if there is none.
func sectionEnd(b []byte) int {
	for at := 0; at < len(b); {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		if n == 0 || n == 1 && b[at] == '\r' {
			return at + n + 1
		}
		at += n + 1
	}
	return 0
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken reports whether b is a token, as the names of fields are.
func isToken(b []byte) bool {
	for _, c := range b {
		isLetter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !isLetter && !isDigit(c) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b holds no control byte but tabs.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
