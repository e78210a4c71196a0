package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/siskinpathd/forward"
	"siskinpath/siskinpathd/forward/forwardpb"
)

// TestStopWaitsForHostsThatTakeNoBytes guards against a grace period that passes before the host
// does anything, while it tells others that stand still to ask elsewhere.
func TestStopWaitsForHostsThatTakeNoBytes(t *testing.T) {
	const hosts = 30 // the streams' windows hold more than the kernel's buffers
	Convey("an allocator leaves at once while other hosts take no bytes", t, func() {
		patient := forward.Timeouts{KeepAlive: clock.Hour, Write: clock.Hour}
		a := newSlotNode("a", nil)
		address, stop := serveSlots(a, "127.0.0.1:0", patient)
		Reset(stop)
		proxy, stall := stallingProxy(address)
		client := &forward.Client{Timeouts: patient}
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		for i := range hosts {
			go func() {
				_ = client.OpenSlots(ctx, proxy, fmt.Sprintf("h%d", i), func(*forward.SlotStream) {}, func(*forwardpb.SlotMessage) {})
			}()
		}
		So(eventually(func() bool { return len(a.peerStreams()) == hosts }), ShouldBeTrue)
		stall()
		m := encodeSlotMessage("s", place.SlotMessage{Kind: place.SlotGrant, Upstream: strings.Repeat("u", 200)})
		for _, s := range a.peerStreams() {
			for range 2000 {
				s.Send(m)
			}
		}
		time.Sleep(200 * time.Millisecond) // the buffers are full
		left := make(chan struct{})
		go func() { a.leave(); close(left) }()
		So(eventually(func() bool {
			select {
			case <-left:
				return true
			default:
				return false
			}
		}), ShouldBeTrue)
	})
}

// peerStreams returns the streams of the hosts that ask this one for slots.
func (n *slotNode) peerStreams() (list []*forward.SlotStream) {
	n.slotExchange.mu.Lock()
	defer n.slotExchange.mu.Unlock()
	for _, s := range n.peers {
		list = append(list, s)
	}
	return list
}

// stallingProxy passes connections on to an address, and nothing back from there after stall has
// been called.
func stallingProxy(to string) (address string, stall func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	stalled := make(chan struct{})
	var conns sync.Map
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to)
			if err != nil {
				_ = client.Close()
				return
			}
			conns.Store(client, server)
			go func() { _, _ = io.Copy(server, client) }()
			go func() {
				buf := make([]byte, 4<<10)
				for {
					n, err := server.Read(buf)
					if err != nil {
						return
					}
					select {
					case <-stalled:
						return
					default:
					}
					_, _ = client.Write(buf[:n])
				}
			}()
		}
	}()
	Reset(func() {
		_ = ln.Close()
		conns.Range(func(client, server any) bool {
			_, _ = client.(net.Conn).Close(), server.(net.Conn).Close()
			return true
		})
	})
	return ln.Addr().String(), sync.OnceFunc(func() { close(stalled) })
}
