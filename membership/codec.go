package membership

import (
	"net/netip"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
)

const (
	maxDatagram        = 4 << 10 // bytes
	maxUpdatesAccepted = 64      // per datagram
)

type wireMember struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Zone        string
	Peer        []byte // IPv4 address and port
	Caller      []byte // IPv4 address and port
	Incarnation uint64
	State       int
	Cores       float32
	Cut         bool
}

type wireMessage struct {
	_       struct{} `cbor:",toarray"`
	Kind    int
	Number  uint64
	From    wireMember
	Target  string
	Updates []wireMember
}

// Encode encodes a message as one datagram.
func Encode(m Message) ([]byte, error) {
	w := wireMessage{Kind: int(m.Kind), Number: m.Number, Target: m.Target}
	var err error
	if w.From, err = encodeMember(m.From); err != nil {
		return nil, err
	}
	for _, member := range m.Updates {
		encoded, err := encodeMember(member)
		if err != nil {
			return nil, err
		}
		w.Updates = append(w.Updates, encoded)
	}
	data, err := cbor.Marshal(w)
	return data, errors.Wrap(err, "encoding a membership message")
}

// Decode decodes the message in a datagram.
func Decode(data []byte) (Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Message{}, errors.Wrap(err, "decoding a membership message")
	}
	if Kind(w.Kind) < Ping || Kind(w.Kind) > Join {
		return Message{}, errors.Newf("membership message has the unknown kind %d", w.Kind)
	}
	if len(w.Updates) > maxUpdatesAccepted {
		return Message{}, errors.Newf("membership message has %d updates; at most %d are allowed", len(w.Updates), maxUpdatesAccepted)
	}
	m := Message{Kind: Kind(w.Kind), Number: w.Number, Target: w.Target}
	var err error
	if m.From, err = decodeMember(w.From); err != nil {
		return Message{}, err
	}
	for _, member := range w.Updates {
		decoded, err := decodeMember(member)
		if err != nil {
			return Message{}, err
		}
		m.Updates = append(m.Updates, decoded)
	}
	return m, nil
}

func encodeMember(m Member) (wireMember, error) {
	peer, err := encodeAddress(m.Peer())
	if err != nil {
		return wireMember{}, err
	}
	caller, err := encodeAddress(m.Caller())
	if err != nil {
		return wireMember{}, err
	}
	return wireMember{
		Host: string(m.Host()), Zone: string(m.Zone()), Peer: peer, Caller: caller,
		Incarnation: uint64(m.Incarnation()), State: int(m.State()), Cores: float32(m.Cores()), Cut: m.Cut(),
	}, nil
}

func encodeAddress(text string) ([]byte, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return nil, errors.Wrapf(err, "encoding the address %q", text)
	}
	return address.MarshalBinary()
}

func decodeAddress(data []byte) (string, error) {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(data); err != nil {
		return "", errors.Wrap(err, "decoding the address of a member")
	}
	return address.String(), nil
}

func decodeMember(w wireMember) (Member, error) {
	if State(w.State) < Alive || State(w.State) > Dead {
		return Member{}, errors.Newf("member %q has the unknown state %d", w.Host, w.State)
	}
	peer, err := decodeAddress(w.Peer)
	if err != nil {
		return Member{}, err
	}
	caller, err := decodeAddress(w.Caller)
	if err != nil {
		return Member{}, err
	}
	return NewMember(MemberSpec{
		Host: magnoliashore.HostID(w.Host), Zone: magnoliashore.ZoneName(w.Zone), Peer: peer, Caller: caller,
		Incarnation: magnoliashore.Incarnation(w.Incarnation), State: State(w.State),
		Cores: float64(w.Cores), Cut: w.Cut,
	}), nil
}
