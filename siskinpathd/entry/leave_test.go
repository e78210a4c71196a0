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
		a := newSlotNode("a", nil)
		address, stop := serveSlots(a, "127.0.0.1:0")
		Reset(stop)
		proxy, stand := stallingProxy(address)
		client := &forward.Client{Timeouts: forward.Timeouts{KeepAlive: clock.Hour, Write: clock.Hour}}
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		for i := range hosts {
			go func() {
				_ = client.OpenSlots(ctx, proxy, fmt.Sprintf("h%d", i), func(*forward.SlotStream) {}, func(*forwardpb.SlotMessage) {})
			}()
		}
		So(eventually(func() bool { return len(a.asking()) == hosts }), ShouldBeTrue)
		stand()
		m := encodeSlotMessage("s", place.SlotMessage{Kind: place.SlotGrant, Upstream: strings.Repeat("u", 200)})
		for _, s := range a.asking() {
			for range 2000 {
				s.Send(m)
			}
		}
		time.Sleep(200 * time.Millisecond) // the buffers are full
		left := time.Now()
		a.leave()
		So(time.Since(left), ShouldBeLessThan, 500*time.Millisecond)
	})
}

// asking returns the streams of the hosts that ask this one for slots.
func (n *slotNode) asking() (list []*forward.SlotStream) {
	n.slotExchange.mu.Lock()
	defer n.slotExchange.mu.Unlock()
	for _, s := range n.peers {
		list = append(list, s)
	}
	return list
}

// stallingProxy passes connections on to an address, and nothing back from there after stand has
// been called.
func stallingProxy(to string) (address string, stand func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	stood := make(chan struct{})
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
					case <-stood:
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
	return ln.Addr().String(), sync.OnceFunc(func() { close(stood) })
}
