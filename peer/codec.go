package peer

import (
	"bytes"
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

// encode returns the frame of a message of this package, to send after those
// in the history. The frame lies in room if it fits; room may be nil.
func (c *Codec) encode(room []byte, message any, past *history) ([]byte, error) {
	kind, wire, err := c.toWire(message, past)
	if err != nil {
		return nil, err
	}
	out := bytes.NewBuffer(room[:0])
	out.WriteByte(kind)
	if err := cbor.MarshalToBuffer(wire, out); err != nil {
		return nil, errors.Wrapf(err, "encoding frame kind %d", kind)
	}
	return out.Bytes(), nil
}

func (c *Codec) toWire(message any, past *history) (byte, any, error) {
	switch m := message.(type) {
	case Heartbeat:
		return kindHeartbeat, c.heartbeatToWire(m, past), nil
	case HeartbeatReply:
		return kindBeat, beatToWire(m, past), nil
	case Batch:
		return kindBatch, c.batchToWire(m), nil
	case Answers:
		return kindAnswers, answersToWire(m), nil
	case Cancel:
		return kindCancel, wireCancel{IDs: m.IDs}, nil
	case Fetch:
		return kindFetch, wireFetch{Held: heldToWire(m.Versions), Hosts: m.Hosts}, nil
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

// decode returns the message of a frame that came after those in the history.
// The error names the kind of frame that is malformed.
func (c *Codec) decode(frame []byte, past *history) (any, error) {
	if len(frame) == 0 {
		return nil, errors.New("frame is empty")
	}
	message, err := c.fromWire(frame[0], frame[1:], past)
	if err != nil {
		return nil, errors.Wrapf(err, "decoding frame kind %d of %d bytes", frame[0], len(frame))
	}
	return message, nil
}

func (c *Codec) fromWire(kind byte, body []byte, past *history) (any, error) {
	switch kind {
	case kindHeartbeat:
		w, err := unmarshal[wireHeartbeat](c, body)
		if err != nil {
			return nil, err
		}
		return c.heartbeatFromWire(w, past), nil
	case kindBeat:
		w, err := unmarshal[wireBeat](c, body)
		if err != nil {
			return nil, err
		}
		return beatFromWire(w, past), nil
	case kindBatch:
		w, err := unmarshal[wireBatch](c, body)
		return c.batchFromWire(w, &past.age), err
	case kindAnswers:
		w, err := unmarshal[wireAnswers](c, body)
		return answersFromWire(w), err
	case kindCancel:
		w, err := unmarshal[wireCancel](c, body)
		return Cancel{IDs: w.IDs}, err
	case kindFetch:
		w, err := unmarshal[wireFetch](c, body)
		return Fetch{Versions: heldFromWire(w.Held), Hosts: w.Hosts}, err
	case kindValues:
		w, err := unmarshal[wireValues](c, body)
		return valuesFromWire(w), err
	case kindForward:
		w, err := unmarshal[wireForward](c, body)
		return c.forwardFromWire(w, &past.age), err
	case kindForwarded:
		w, err := unmarshal[wireForwarded](c, body)
		return forwardedFromWire(w), err
	default:
		return nil, errors.Newf("frame kind %d does not exist", kind)
	}
}

func unmarshal[T any](c *Codec, body []byte) (T, error) {
	var wire T
	err := c.decoder.Unmarshal(body, &wire)
	return wire, err
}

func (c *Codec) heartbeatToWire(m Heartbeat, past *history) wireHeartbeat {
	w := wireHeartbeat{Sent: c.Clock.Now().UnixMicro(), Info: infoToWire(m.Info), Ask: askToWire(m.Ask)}
	w.Same = past.heartbeat.omit(&w.Info, &w.Ask.View, &w.Ask.Keys)
	return w
}

func (c *Codec) heartbeatFromWire(w wireHeartbeat, past *history) Heartbeat {
	past.age.learn(c.Clock.Now(), w.Sent)
	past.heartbeat.restore(w.Same, &w.Info, &w.Ask.View, &w.Ask.Keys)
	info := infoFromWire(w.Info)
	return Heartbeat{Info: info, Ask: askFromWire(w.Ask, info)}
}

func beatToWire(m HeartbeatReply, past *history) wireBeat {
	w := wireBeat{Info: infoToWire(m.Info), Reply: replyToWire(m.Reply)}
	w.Same = past.beat.omit(&w.Info, &w.Reply.View, &w.Reply.Granted)
	return w
}

func beatFromWire(w wireBeat, past *history) HeartbeatReply {
	past.beat.restore(w.Same, &w.Info, &w.Reply.View, &w.Reply.Granted)
	info := infoFromWire(w.Info)
	return HeartbeatReply{Info: info, Reply: replyFromWire(w.Reply, info)}
}

func infoToWire(i Info) wireInfo {
	return wireInfo{
		Host: string(i.Host), Incarnation: uint64(i.Incarnation), Epoch: uint64(i.Epoch), Order: i.Order,
		Leaving: i.Leaving, Ready: i.Ready, Queries: i.Queries, Held: heldToWire(i.Versions),
		ReadAge: i.ReadAge.Milliseconds(), HostsHash: i.HostsHash, HostsAge: i.HostsAge.Milliseconds(),
	}
}

func infoFromWire(w wireInfo) Info {
	return Info{
		Host: magnoliashore.HostID(w.Host), Incarnation: magnoliashore.Incarnation(w.Incarnation),
		Epoch: magnoliashore.Epoch(w.Epoch), Order: w.Order, Leaving: w.Leaving, Ready: w.Ready,
		Queries: w.Queries, Versions: heldFromWire(w.Held),
		ReadAge:   time.Duration(w.ReadAge) * time.Millisecond,
		HostsHash: w.HostsHash,
		HostsAge:  time.Duration(w.HostsAge) * time.Millisecond,
	}
}

func heldToWire(list []KeyVersion) []wireHeld {
	out := make([]wireHeld, 0, len(list))
	for _, h := range list {
		out = append(out, wireHeld{Key: h.Key, Version: uint64(h.Version)})
	}
	return out
}

func heldFromWire(list []wireHeld) []KeyVersion {
	out := make([]KeyVersion, 0, len(list))
	for _, h := range list {
		out = append(out, KeyVersion{Key: h.Key, Version: magnoliashore.Version(h.Version)})
	}
	return out
}

func seenToWire(list []lease.HostIncarnation) []wireSeen {
	out := make([]wireSeen, 0, len(list))
	for _, s := range list {
		out = append(out, wireSeen{Host: string(s.Host), Incarnation: uint64(s.Incarnation)})
	}
	return out
}

func seenFromWire(list []wireSeen) []lease.HostIncarnation {
	out := make([]lease.HostIncarnation, 0, len(list))
	for _, s := range list {
		seen := lease.HostIncarnation{Host: magnoliashore.HostID(s.Host), Incarnation: magnoliashore.Incarnation(s.Incarnation)}
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

func askToWire(a lease.Request) wireAsk {
	return wireAsk{
		Sequence: a.Sequence, Roster: a.RosterHash, View: seenToWire(a.View),
		Keys: keysToWire(a.Keys), Release: keysToWire(a.Release),
	}
}

func askFromWire(w wireAsk, from Info) lease.Request {
	return lease.Request{
		From: from.Host, Incarnation: from.Incarnation, Sequence: w.Sequence, RosterHash: w.Roster,
		View: seenFromWire(w.View), Keys: keysFromWire(w.Keys), Release: keysFromWire(w.Release),
	}
}

func replyToWire(r lease.Reply) wireReply {
	return wireReply{
		Sequence: r.Sequence, View: seenToWire(r.View), Granted: keysToWire(r.Granted),
		Recorded: r.Recorded, Ready: r.Settled,
	}
}

func replyFromWire(w wireReply, from Info) lease.Reply {
	return lease.Reply{
		From: from.Host, Incarnation: from.Incarnation, Sequence: w.Sequence,
		View: seenFromWire(w.View), Granted: keysFromWire(w.Granted), Recorded: w.Recorded, Settled: w.Ready,
	}
}
