package fleetsim

import (
	"google.golang.org/protobuf/encoding/protowire"

	"siskinpath/core/membership"
)

// headerBytes is the overhead of IP, TCP and yamux per message.
const headerBytes = 60

// HeartbeatBytes returns the size of a heartbeat on the wire, in the protobuf
// encoding of siskinpathd/peer/peerpb and with headerBytes.
func HeartbeatBytes(beat membership.Heartbeat) int {
	n := fixed64Field + varintField(beat.Sequence) + varintField(beat.Epoch) + varintField(beat.TableVersion) + varintField(uint64(beat.KeyWindow))
	n += boolField(beat.Leaving) + varintField(uint64(beat.PlatformAge))
	for _, entry := range beat.Gossip {
		n += lengthDelimited(gossipEntryBytes(entry))
	}
	for _, d := range beat.Dead {
		n += lengthDelimited(stringField(d.ID) + fixed64Field)
	}
	return headerBytes + lengthDelimited(lengthDelimited(n))
}

func gossipEntryBytes(entry membership.GossipEntry) int {
	return stringField(entry.Host.ID) + fixed64Field + varintField(entry.Sequence) + varintField(entry.Epoch) + varintField(entry.TableVersion) +
		varintField(uint64(entry.KeyWindow)) + boolField(entry.Leaving) + varintField(uint64(entry.Age))
}

// fixed64Field is the size of a fixed64 field with its tag. The functions below
// return the sizes of fields of other types with their tags; proto3 omits zero
// values of scalar fields.
const fixed64Field = 9

func varintField(x uint64) int {
	if x == 0 {
		return 0
	}
	return 1 + protowire.SizeVarint(x)
}

func boolField(x bool) int {
	if x {
		return 2
	}
	return 0
}

func stringField(s string) int { return lengthDelimited(len(s)) }

func lengthDelimited(n int) int { return 1 + protowire.SizeBytes(n) }
