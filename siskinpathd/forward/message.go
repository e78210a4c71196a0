package forward

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	// maxMessageBytes limits a request or reply.
	maxMessageBytes = 65 << 20
	// smallMessageBytes is the size up to which a message is read without a reservation.
	smallMessageBytes = 4 << 10
)

var errMessageTooLong = errors.New("message of another host is longer than this host accepts")

// Reserve is called with the size of a message before it is read, and returns an error if there
// is no memory for it. Nothing of the message is read then.
type Reserve func(bytes int) error

// read reads a message that its size precedes.
func read(r *bufio.Reader, m proto.Message) error { return readReserved(r, m, nil) }

// readReserved reads a message for which memory has been reserved, unless it is small.
func readReserved(r *bufio.Reader, m proto.Message, reserve Reserve) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return errMessageTooLong
	}
	if reserve != nil && size > smallMessageBytes {
		if err = reserve(int(size)); err != nil {
			return err
		}
	}
	encoded := make([]byte, size)
	if _, err = io.ReadFull(r, encoded); errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	return proto.Unmarshal(encoded, m)
}

// encode returns a message with its size before it.
func encode(m proto.Message) ([]byte, error) {
	options := proto.MarshalOptions{}
	size := options.Size(m)
	options.UseCachedSize = true
	b := make([]byte, 0, size+protowire.SizeVarint(uint64(size)))
	return options.MarshalAppend(protowire.AppendVarint(b, uint64(size)), m)
}
