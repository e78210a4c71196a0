package peer

import (
	"github.com/VictoriaMetrics/metrics"

	"siskinpath/siskinpathd/peer/peerpb"
)

// counters are the transport's metrics. Control and call bytes count messages
// including their frame headers. Link bytes count everything on the TCP
// connections.
type counters struct {
	links *metrics.Counter // gauge of open links

	controlSent, controlReceived *metrics.Counter
	sentHeartbeats, sentDigests  *metrics.Counter
	sentFetches, sentCopies      *metrics.Counter
	callSent, callReceived       *metrics.Counter
	linkSent, linkReceived       *metrics.Counter

	dialsOK, dialsRefused, dialsFailed                    *metrics.Counter
	corrupt, handshakeTimeouts, staleLinks, wrongHost     *metrics.Counter
	acceptFailures, refusedLinks, staleHeartbeats, deaths *metrics.Counter
	droppedHeartbeats, droppedDigests, droppedFetches     *metrics.Counter
	droppedCopies                                         *metrics.Counter
	callsOK, callsNotSent, callsUnknown                   *metrics.Counter
}

func newCounters(set *metrics.Set) counters {
	c := set.GetOrCreateCounter
	return counters{
		links:             c(`peer_links`),
		controlSent:       c(`control_bytes_sent`),
		controlReceived:   c(`control_bytes_received`),
		sentHeartbeats:    c(`control_messages_sent_total{kind="heartbeat"}`),
		sentDigests:       c(`control_messages_sent_total{kind="digest"}`),
		sentFetches:       c(`control_messages_sent_total{kind="fetch"}`),
		sentCopies:        c(`control_messages_sent_total{kind="copy"}`),
		callSent:          c(`peer_call_bytes_sent`),
		callReceived:      c(`peer_call_bytes_received`),
		linkSent:          c(`peer_link_bytes_sent`),
		linkReceived:      c(`peer_link_bytes_received`),
		dialsOK:           c(`peer_dials_total{result="ok"}`),
		dialsRefused:      c(`peer_dials_total{result="refused"}`),
		dialsFailed:       c(`peer_dials_total{result="failed"}`),
		corrupt:           c(`peer_corrupt_frames_total`),
		handshakeTimeouts: c(`peer_handshake_timeouts_total`),
		staleLinks:        c(`peer_stale_links_total`),
		wrongHost:         c(`peer_wrong_host_total`),
		acceptFailures:    c(`peer_accept_failures_total`),
		refusedLinks:      c(`peer_refused_links_total`),
		staleHeartbeats:   c(`peer_stale_heartbeats_total`),
		deaths:            c(`peer_deaths_proven_total`),
		droppedHeartbeats: c(`peer_dropped_total{kind="heartbeat"}`),
		droppedDigests:    c(`peer_dropped_total{kind="digest"}`),
		droppedFetches:    c(`peer_dropped_total{kind="fetch"}`),
		droppedCopies:     c(`peer_dropped_total{kind="copy"}`),
		callsOK:           c(`peer_calls_total{result="ok"}`),
		callsNotSent:      c(`peer_calls_total{result="not_sent"}`),
		callsUnknown:      c(`peer_calls_total{result="unknown"}`),
	}
}

func (c *counters) call(err error) {
	switch {
	case err == nil:
		c.callsOK.Inc()
	case NotSent(err):
		c.callsNotSent.Inc()
	default:
		c.callsUnknown.Inc()
	}
}

// sent counts a control message under its kind.
func (c *counters) sent(m *peerpb.ControlMessage) {
	switch m.Kind.(type) {
	case *peerpb.ControlMessage_Heartbeat:
		c.sentHeartbeats.Inc()
	case *peerpb.ControlMessage_Digest:
		c.sentDigests.Inc()
	case *peerpb.ControlMessage_TableFetch:
		c.sentFetches.Inc()
	default:
		c.sentCopies.Inc()
	}
}
