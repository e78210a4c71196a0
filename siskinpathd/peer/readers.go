package peer

import (
	"bufio"
	"io"
	"sync"
)

// readerBytes is the buffer of a stream's reader; larger messages go past it.
const readerBytes = 4 << 10

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

// borrowReader gives a reader of r that is to be given back with returnReader
// by whoever uses it last.
func borrowReader(r io.Reader) *bufio.Reader {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

func returnReader(b *bufio.Reader) {
	b.Reset(nil)
	readers.Put(b)
}
