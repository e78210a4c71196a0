package peer

import (
	"bufio"
	"io"
	"sync"
)

// readerBytes is the buffer size of a stream reader. Larger messages bypass the
// buffer.
const readerBytes = 4 << 10

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }}

// getReader returns a pooled reader that reads from r. The last user must return it
// to the pool with putReader.
func getReader(r io.Reader) *bufio.Reader {
	b := readerPool.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

func putReader(b *bufio.Reader) {
	b.Reset(nil)
	readerPool.Put(b)
}
