package fleetsim

import (
	"google.golang.org/protobuf/encoding/protowire"

	"siskinpath/core/membership"
)

// headerBytes is what IP, TCP and yamux add to a message.
const headerBytes = 60

// HeartbeatBytes returns the size of a heartbeat on the wire, as protobuf
// encodes the messages of siskinpathd/peer/peerpb, and headers.
func HeartbeatBytes(beat membership.Heartbeat) int {
	n := fixed64Field + varint(beat.Sequence) + varint(beat.Epoch) + varint(beat.TableVersion) + varint(uint64(beat.KeyWindow))
	n += flag(beat.Leaving) + varint(uint64(beat.PlatformAge))
	for _, k := range beat.Gossip {
		n += embedded(knownBytes(k))
	}
	for _, d := range beat.Dead {
		n += embedded(text(d.ID) + fixed64Field)
	}
	return headerBytes + embedded(embedded(n))
}

func knownBytes(k membership.GossipEntry) int {
	return text(k.Host.ID) + fixed64Field + varint(k.Sequence) + varint(k.Epoch) + varint(k.TableVersion) +
		varint(uint64(k.KeyWindow)) + flag(k.Leaving) + varint(uint64(k.Age))
}

// Sizes of fields with their tags; proto3 leaves zero values out.
const fixed64Field = 9

func varint(x uint64) int {
	if x == 0 {
		return 0
	}
	return 1 + protowire.SizeVarint(x)
}

func flag(x bool) int {
	if x {
		return 2
	}
	return 0
}

func text(s string) int { return embedded(len(s)) }

func embedded(n int) int { return 1 + protowire.SizeBytes(n) }
