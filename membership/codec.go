package membership

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
)

const (
	maxDatagram = 4 << 10 // bytes
	maxNews     = 64      // members in one datagram that is accepted
)

type wireMember struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Zone        string
	Peer        string
	Caller      string
	Incarnation uint64
	State       int
	Cores       float32
}

type wireMessage struct {
	_      struct{} `cbor:",toarray"`
	Kind   int
	Number uint64
	From   wireMember
	Target string
	News   []wireMember
}

// Encode returns the datagram of a message.
func Encode(m Message) ([]byte, error) {
	w := wireMessage{Kind: int(m.Kind), Number: m.Number, From: encodeMember(m.From), Target: m.Target}
	for _, member := range m.News {
		w.News = append(w.News, encodeMember(member))
	}
	data, err := cbor.Marshal(w)
	return data, errors.Wrap(err, "encoding a membership message")
}

// Decode returns the message in a datagram.
func Decode(data []byte) (Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Message{}, errors.Wrap(err, "decoding a membership message")
	}
	if Kind(w.Kind) < Ping || Kind(w.Kind) > Join {
		return Message{}, errors.Newf("membership message has the unknown kind %d", w.Kind)
	}
	if len(w.News) > maxNews {
		return Message{}, errors.Newf("membership message names %d members, more than %d", len(w.News), maxNews)
	}
	m := Message{Kind: Kind(w.Kind), Number: w.Number, Target: w.Target}
	var err error
	if m.From, err = decodeMember(w.From); err != nil {
		return Message{}, err
	}
	for _, member := range w.News {
		decoded, err := decodeMember(member)
		if err != nil {
			return Message{}, err
		}
		m.News = append(m.News, decoded)
	}
	return m, nil
}

func encodeMember(m Member) wireMember {
	return wireMember{
		Host: string(m.Host()), Zone: string(m.Zone()), Peer: m.Peer(), Caller: m.Caller(),
		Incarnation: uint64(m.Incarnation()), State: int(m.State()),
		Cores: float32(m.Cores()),
	}
}

func decodeMember(w wireMember) (Member, error) {
	if State(w.State) < Alive || State(w.State) > Dead {
		return Member{}, errors.Newf("member %q has the unknown state %d", w.Peer, w.State)
	}
	return NewMember(MemberSpec{
		Host: magnoliashore.HostID(w.Host), Zone: magnoliashore.ZoneName(w.Zone), Peer: w.Peer, Caller: w.Caller,
		Incarnation: magnoliashore.Incarnation(w.Incarnation), State: State(w.State),
		Cores: float64(w.Cores),
	}), nil
}
