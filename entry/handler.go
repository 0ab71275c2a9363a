package entry

import (
	"context"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/peer"
)

// handler serves the requests of peers.
type handler struct{ host *Host }

var _ peer.Handler = handler{}

func (h *Host) handler() handler { return handler{host: h} }

func (p handler) Heartbeat(heartbeat peer.Heartbeat) peer.HeartbeatReply {
	return p.host.control.handleHeartbeat(heartbeat)
}

func (p handler) Submit(sub magnoliashore.Sub, reply func(magnoliashore.SubAnswer)) func() {
	return p.host.workers.submit(sub, reply)
}

func (p handler) Fetch(fetch peer.Fetch) peer.Values { return p.host.config.fetch(fetch) }

func (p handler) Forward(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer {
	if query.Ticket().Host() != p.host.Settings.Host {
		return p.host.unknownAnswer(query, magnoliashore.ReasonTicket, "the ticket names another entry host")
	}
	return p.host.Query(ctx, query)
}

func (p handler) Order() uint64 { return p.host.events.Order() }

func (p handler) Witness(order uint64) { p.host.events.Witness(order) }

func (p handler) Malformed(from string, err error) {
	p.host.emit(magnoliashore.EventSpec{Code: event.PeerFrame, Peer: from, Detail: err.Error()})
}
