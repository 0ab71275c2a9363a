package peer

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/lease"
)

// Kinds of frames. The kind is the first byte of a message.
const (
	kindHeartbeat      byte = 1
	kindHeartbeatReply byte = 2
	kindBatch          byte = 3
	kindAnswers        byte = 4
	kindCancel         byte = 5
	kindFetch          byte = 6
	kindValues         byte = 7
	kindForward        byte = 8
	kindForwarded      byte = 9
)

// Limits of a frame.
const (
	maxFrame    = 16 << 20 // bytes
	maxElements = 1 << 16  // elements of one CBOR array
	maxNesting  = 8        // levels of nested CBOR arrays
)

// Codec encodes messages as frames and decodes them. It needs Clock because a
// deadline is sent as the remaining time.
type Codec struct {
	Clock magnoliashore.Clock

	decoder cbor.DecMode
}

// NewCodec returns a codec that rejects frames beyond the limits.
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

// encode returns the frame of a message and updates state, which describes the
// frames sent before. The frame is stored in buffer, which may be nil, if it fits.
func (c *Codec) encode(buffer []byte, message any, state *deltaState) ([]byte, error) {
	kind, wire, err := c.toWire(message, state)
	if err != nil {
		return nil, err
	}
	out := bytes.NewBuffer(buffer[:0])
	out.WriteByte(kind)
	if err := cbor.MarshalToBuffer(wire, out); err != nil {
		return nil, errors.Wrapf(err, "encoding frame kind %d", kind)
	}
	return out.Bytes(), nil
}

func (c *Codec) toWire(message any, state *deltaState) (byte, any, error) {
	switch m := message.(type) {
	case Heartbeat:
		return kindHeartbeat, c.heartbeatToWire(m, state), nil
	case HeartbeatReply:
		return kindHeartbeatReply, heartbeatReplyToWire(m, state), nil
	case Batch:
		return kindBatch, c.batchToWire(m), nil
	case Answers:
		return kindAnswers, answersToWire(m), nil
	case Cancel:
		return kindCancel, wireCancel{IDs: m.IDs}, nil
	case Fetch:
		return kindFetch, wireFetch{Versions: versionsToWire(m.Versions), Hosts: m.Hosts}, nil
	case Values:
		return kindValues, valuesToWire(m), nil
	case Forward:
		return kindForward, c.forwardToWire(m), nil
	case Forwarded:
		return kindForwarded, forwardedToWire(m), nil
	default:
		return 0, nil, errors.Newf("message type %T cannot be encoded", message)
	}
}

// decode returns the message of a frame and updates state, which describes the
// frames received before. An error names the kind of the frame.
func (c *Codec) decode(frame []byte, state *deltaState) (any, error) {
	if len(frame) == 0 {
		return nil, errors.New("frame is empty")
	}
	message, err := c.fromWire(frame[0], frame[1:], state)
	if err != nil {
		return nil, errors.Wrapf(err, "decoding frame kind %d of %d bytes", frame[0], len(frame))
	}
	return message, nil
}

func (c *Codec) fromWire(kind byte, body []byte, state *deltaState) (any, error) {
	switch kind {
	case kindHeartbeat:
		w, err := unmarshal[wireHeartbeat](c, body)
		if err != nil {
			return nil, err
		}
		return c.heartbeatFromWire(w, state), nil
	case kindHeartbeatReply:
		w, err := unmarshal[wireHeartbeatReply](c, body)
		if err != nil {
			return nil, err
		}
		return heartbeatReplyFromWire(w, state), nil
	case kindBatch:
		w, err := unmarshal[wireBatch](c, body)
		return c.batchFromWire(w, &state.delay), err
	case kindAnswers:
		w, err := unmarshal[wireAnswers](c, body)
		return answersFromWire(w), err
	case kindCancel:
		w, err := unmarshal[wireCancel](c, body)
		return Cancel{IDs: w.IDs}, err
	case kindFetch:
		w, err := unmarshal[wireFetch](c, body)
		return Fetch{Versions: versionsFromWire(w.Versions), Hosts: w.Hosts}, err
	case kindValues:
		w, err := unmarshal[wireValues](c, body)
		return valuesFromWire(w), err
	case kindForward:
		w, err := unmarshal[wireForward](c, body)
		return c.forwardFromWire(w, &state.delay), err
	case kindForwarded:
		w, err := unmarshal[wireForwarded](c, body)
		return forwardedFromWire(w), err
	default:
		return nil, errors.Newf("unknown frame kind %d", kind)
	}
}

func unmarshal[T any](c *Codec, body []byte) (T, error) {
	var wire T
	err := c.decoder.Unmarshal(body, &wire)
	return wire, err
}

func (c *Codec) heartbeatToWire(m Heartbeat, state *deltaState) wireHeartbeat {
	w := wireHeartbeat{Sent: c.Clock.Now().UnixMicro(), Info: infoToWire(m.Info), Ask: requestToWire(m.Request)}
	w.Same = state.heartbeat.omit(&w.Info, &w.Ask.View, &w.Ask.Keys)
	return w
}

func (c *Codec) heartbeatFromWire(w wireHeartbeat, state *deltaState) Heartbeat {
	state.delay.observe(c.Clock.Now(), w.Sent)
	state.heartbeat.restore(w.Same, &w.Info, &w.Ask.View, &w.Ask.Keys)
	info := infoFromWire(w.Info)
	return Heartbeat{Info: info, Request: requestFromWire(w.Ask, info)}
}

func heartbeatReplyToWire(m HeartbeatReply, state *deltaState) wireHeartbeatReply {
	w := wireHeartbeatReply{Info: infoToWire(m.Info), Reply: replyToWire(m.Reply)}
	w.Same = state.reply.omit(&w.Info, &w.Reply.View, &w.Reply.Granted)
	return w
}

func heartbeatReplyFromWire(w wireHeartbeatReply, state *deltaState) HeartbeatReply {
	state.reply.restore(w.Same, &w.Info, &w.Reply.View, &w.Reply.Granted)
	info := infoFromWire(w.Info)
	return HeartbeatReply{Info: info, Reply: replyFromWire(w.Reply, info)}
}

func infoToWire(i Info) wireInfo {
	return wireInfo{
		Host: string(i.Host), Incarnation: uint64(i.Incarnation), Epoch: uint64(i.Epoch), Order: i.Order,
		Leaving: i.Leaving, Ready: i.Ready, Queries: i.Queries, Versions: versionsToWire(i.Versions),
		ReadAge: i.ReadAge.Milliseconds(), HostsHash: i.HostsHash, HostsAge: i.HostsAge.Milliseconds(),
	}
}

func infoFromWire(w wireInfo) Info {
	return Info{
		Host: magnoliashore.HostID(w.Host), Incarnation: magnoliashore.Incarnation(w.Incarnation),
		Epoch: magnoliashore.Epoch(w.Epoch), Order: w.Order, Leaving: w.Leaving, Ready: w.Ready,
		Queries: w.Queries, Versions: versionsFromWire(w.Versions),
		ReadAge:   time.Duration(w.ReadAge) * time.Millisecond,
		HostsHash: w.HostsHash,
		HostsAge:  time.Duration(w.HostsAge) * time.Millisecond,
	}
}

func versionsToWire(list []KeyVersion) []wireKeyVersion {
	out := make([]wireKeyVersion, 0, len(list))
	for _, v := range list {
		out = append(out, wireKeyVersion{Key: v.Key, Version: uint64(v.Version)})
	}
	return out
}

func versionsFromWire(list []wireKeyVersion) []KeyVersion {
	out := make([]KeyVersion, 0, len(list))
	for _, v := range list {
		out = append(out, KeyVersion{Key: v.Key, Version: magnoliashore.Version(v.Version)})
	}
	return out
}

func hostIncarnationsToWire(list []lease.HostIncarnation) []wireHostIncarnation {
	out := make([]wireHostIncarnation, 0, len(list))
	for _, s := range list {
		out = append(out, wireHostIncarnation{Host: string(s.Host), Incarnation: uint64(s.Incarnation)})
	}
	return out
}

func hostIncarnationsFromWire(list []wireHostIncarnation) []lease.HostIncarnation {
	out := make([]lease.HostIncarnation, 0, len(list))
	for _, s := range list {
		host := lease.HostIncarnation{Host: magnoliashore.HostID(s.Host), Incarnation: magnoliashore.Incarnation(s.Incarnation)}
		out = append(out, host)
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

func requestToWire(r lease.Request) wireRequest {
	return wireRequest{
		Sequence: r.Sequence, RosterHash: r.RosterHash, View: hostIncarnationsToWire(r.View),
		Keys: keysToWire(r.Keys), Release: keysToWire(r.Release),
	}
}

func requestFromWire(w wireRequest, from Info) lease.Request {
	return lease.Request{
		From: from.Host, Incarnation: from.Incarnation, Sequence: w.Sequence, RosterHash: w.RosterHash,
		View: hostIncarnationsFromWire(w.View), Keys: keysFromWire(w.Keys), Release: keysFromWire(w.Release),
	}
}

func replyToWire(r lease.Reply) wireReply {
	return wireReply{
		Sequence: r.Sequence, View: hostIncarnationsToWire(r.View), Granted: keysToWire(r.Granted),
		Recorded: r.Recorded, Settled: r.Settled,
	}
}

func replyFromWire(w wireReply, from Info) lease.Reply {
	return lease.Reply{
		From: from.Host, Incarnation: from.Incarnation, Sequence: w.Sequence,
		View: hostIncarnationsFromWire(w.View), Granted: keysFromWire(w.Granted), Recorded: w.Recorded, Settled: w.Settled,
	}
}
