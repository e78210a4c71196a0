package http1

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong reports a head or a trailer section that does not fit into the reader's buffer.
var ErrTooLong = errors.New("head or trailer of the response is longer than this host accepts")

// AwaitHead waits for the head of a response and checks it. It consumes nothing. It returns
// io.EOF if r ends before the first byte.
func AwaitHead(r *bufio.Reader) error { return await(r, CheckHead) }

// AwaitTrailer does the same for the trailer section of a chunked body, which is an empty line
// where there are no trailers.
func AwaitTrailer(r *bufio.Reader) error { return await(r, CheckFields) }

func await(r *bufio.Reader, check func([]byte) error) error {
	for n := 1; ; n = r.Buffered() + 1 {
		if n > r.Size() {
			return ErrTooLong
		}
		if _, err := r.Peek(n); err != nil {
			if err == io.EOF && r.Buffered() > 0 {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		if end := sectionEnd(b); end > 0 {
			return check(b[:end])
		}
	}
}
