package peer

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
)

// The kinds of frame, the first byte of each message.
const (
	kindHeartbeat byte = 1
	kindBeat      byte = 2
	kindBatch     byte = 3
	kindAnswers   byte = 4
	kindCancel    byte = 5
	kindFetch     byte = 6
	kindValues    byte = 7
	kindForward   byte = 8
	kindForwarded byte = 9
)

// Limits on what a frame may hold.
const (
	maxFrame    = 16 << 20 // bytes
	maxElements = 1 << 16  // elements of one CBOR array
	maxNesting  = 8        // levels of nested CBOR arrays
)

// Codec turns messages into frames and back. Clock is needed because
// deadlines travel as remaining time.
type Codec struct {
	Clock magnoliashore.Clock

	decoder cbor.DecMode
}

// NewCodec returns a codec that refuses frames beyond the package's limits.
func NewCodec(clock magnoliashore.Clock) (*Codec, error) {
	options := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	decoder, err := options.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "building the CBOR decoder")
	}
	return &Codec{Clock: clock, decoder: decoder}, nil
}

// Encode returns the frame of a message of this package.
func (c *Codec) Encode(message any) ([]byte, error) {
	kind, wire, err := c.toWire(message)
	if err != nil {
		return nil, err
	}
	body, err := cbor.Marshal(wire)
	if err != nil {
		return nil, errors.Wrapf(err, "encoding frame kind %d", kind)
	}
	return append([]byte{kind}, body...), nil
}

func (c *Codec) toWire(message any) (byte, any, error) {
	switch m := message.(type) {
	case Heartbeat:
		return kindHeartbeat, wireHeartbeat{Sent: c.Clock.Now().UnixMicro(), Info: infoToWire(m.Info), Ask: askToWire(m.Ask)}, nil
	case Beat:
		return kindBeat, wireBeat{Info: infoToWire(m.Info), Reply: replyToWire(m.Reply)}, nil
	case Batch:
		return kindBatch, c.batchToWire(m), nil
	case Answers:
		return kindAnswers, answersToWire(m), nil
	case Cancel:
		return kindCancel, wireCancel{IDs: m.IDs}, nil
	case Fetch:
		return kindFetch, wireFetch{Held: heldToWire(m.Held), Hosts: m.Hosts}, nil
	case Values:
		return kindValues, valuesToWire(m), nil
	case Forward:
		return kindForward, c.forwardToWire(m), nil
	case Forwarded:
		return kindForwarded, forwardedToWire(m), nil
	default:
		return 0, nil, errors.Newf("message type %T has no frame", message)
	}
}

// Decode returns the message of a frame that came over a connection with the
// given record of ages. The error names the kind of frame that is malformed.
func (c *Codec) Decode(frame []byte, age *Age) (any, error) {
	if len(frame) == 0 {
		return nil, errors.New("frame is empty")
	}
	message, err := c.fromWire(frame[0], frame[1:], age)
	if err != nil {
		return nil, errors.Wrapf(err, "decoding frame kind %d of %d bytes", frame[0], len(frame))
	}
	return message, nil
}

func (c *Codec) fromWire(kind byte, body []byte, age *Age) (any, error) {
	switch kind {
	case kindHeartbeat:
		w, err := decode[wireHeartbeat](c, body)
		age.learn(c.Clock.Now(), w.Sent)
		info := infoFromWire(w.Info)
		return Heartbeat{Info: info, Ask: askFromWire(w.Ask, info)}, err
	case kindBeat:
		w, err := decode[wireBeat](c, body)
		info := infoFromWire(w.Info)
		return Beat{Info: info, Reply: replyFromWire(w.Reply, info)}, err
	case kindBatch:
		w, err := decode[wireBatch](c, body)
		return c.batchFromWire(w, age), err
	case kindAnswers:
		w, err := decode[wireAnswers](c, body)
		return answersFromWire(w), err
	case kindCancel:
		w, err := decode[wireCancel](c, body)
		return Cancel{IDs: w.IDs}, err
	case kindFetch:
		w, err := decode[wireFetch](c, body)
		return Fetch{Held: heldFromWire(w.Held), Hosts: w.Hosts}, err
	case kindValues:
		w, err := decode[wireValues](c, body)
		return valuesFromWire(w), err
	case kindForward:
		w, err := decode[wireForward](c, body)
		return c.forwardFromWire(w, age), err
	case kindForwarded:
		w, err := decode[wireForwarded](c, body)
		return forwardedFromWire(w), err
	default:
		return nil, errors.Newf("frame kind %d does not exist", kind)
	}
}

func decode[T any](c *Codec, body []byte) (T, error) {
	var wire T
	err := c.decoder.Unmarshal(body, &wire)
	return wire, err
}

func infoToWire(i Info) wireInfo {
	return wireInfo{
		Host: string(i.Host), Incarnation: uint64(i.Incarnation), Epoch: uint64(i.Epoch), Order: i.Order,
		Leaving: i.Leaving, Ready: i.Ready, Queries: i.Queries, Held: heldToWire(i.Held),
		ReadAge: i.ReadAge.Milliseconds(), HostsHash: i.HostsHash, HostsAge: i.HostsAge.Milliseconds(),
	}
}

func infoFromWire(w wireInfo) Info {
	return Info{
		Host: magnoliashore.HostID(w.Host), Incarnation: magnoliashore.Incarnation(w.Incarnation),
		Epoch: magnoliashore.Epoch(w.Epoch), Order: w.Order, Leaving: w.Leaving, Ready: w.Ready,
		Queries: w.Queries, Held: heldFromWire(w.Held),
		ReadAge:   time.Duration(w.ReadAge) * time.Millisecond,
		HostsHash: w.HostsHash,
		HostsAge:  time.Duration(w.HostsAge) * time.Millisecond,
	}
}

func heldToWire(list []Held) []wireHeld {
	out := make([]wireHeld, 0, len(list))
	for _, h := range list {
		out = append(out, wireHeld{Key: h.Key, Version: uint64(h.Version)})
	}
	return out
}

func heldFromWire(list []wireHeld) []Held {
	out := make([]Held, 0, len(list))
	for _, h := range list {
		out = append(out, Held{Key: h.Key, Version: magnoliashore.Version(h.Version)})
	}
	return out
}

func seenToWire(list []lease.Seen) []wireSeen {
	out := make([]wireSeen, 0, len(list))
	for _, s := range list {
		out = append(out, wireSeen{Host: string(s.Host), Incarnation: uint64(s.Incarnation)})
	}
	return out
}

func seenFromWire(list []wireSeen) []lease.Seen {
	out := make([]lease.Seen, 0, len(list))
	for _, s := range list {
		seen := lease.Seen{Host: magnoliashore.HostID(s.Host), Incarnation: magnoliashore.Incarnation(s.Incarnation)}
		out = append(out, seen)
	}
	return out
}

func keysToWire(list []lease.Key) []uint32 {
	out := make([]uint32, 0, len(list))
	for _, k := range list {
		out = append(out, uint32(k))
	}
	return out
}

func keysFromWire(list []uint32) []lease.Key {
	out := make([]lease.Key, 0, len(list))
	for _, k := range list {
		out = append(out, lease.Key(k))
	}
	return out
}

func askToWire(a lease.Ask) wireAsk {
	return wireAsk{
		Sequence: a.Sequence, Roster: a.Roster, View: seenToWire(a.View),
		Keys: keysToWire(a.Keys), Release: keysToWire(a.Release),
	}
}

func askFromWire(w wireAsk, from Info) lease.Ask {
	return lease.Ask{
		From: from.Host, Incarnation: from.Incarnation, Sequence: w.Sequence, Roster: w.Roster,
		View: seenFromWire(w.View), Keys: keysFromWire(w.Keys), Release: keysFromWire(w.Release),
	}
}

func replyToWire(r lease.Reply) wireReply {
	return wireReply{
		Sequence: r.Sequence, View: seenToWire(r.View), Granted: keysToWire(r.Granted),
		Recorded: r.Recorded, Ready: r.Ready,
	}
}

func replyFromWire(w wireReply, from Info) lease.Reply {
	return lease.Reply{
		From: from.Host, Incarnation: from.Incarnation, Sequence: w.Sequence,
		View: seenFromWire(w.View), Granted: keysFromWire(w.Granted), Recorded: w.Recorded, Ready: w.Ready,
	}
}
