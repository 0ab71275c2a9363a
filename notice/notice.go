// Package notice holds the messages between hosts that need no answer and may be
// lost, each of which fits a datagram, and their encoding in CBOR.
package notice

import (
	"math"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/quota"
)

// maxItems is the most items of one kind in a message.
const maxItems = 64

// Message is what one host tells another.
type Message struct {
	From    string         // ip:port of the sender for other hosts
	Reports []quota.Report // to the issuer of their targets
	Grants  []quota.Grant  // from the issuer of their targets
}

type wireMessage struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Reports []wireReport
	Grants  []wireGrant
}

type wireReport struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Rate   float64
	Demand float32
	Share  float32
	Left   int64 // milliseconds, like the other durations
}

type wireGrant struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Share  float32
	Term   int64
}

// Encode encodes a message.
func Encode(m Message) ([]byte, error) {
	w := wireMessage{From: m.From}
	for _, r := range m.Reports {
		w.Reports = append(w.Reports, wireReport{
			Target: string(r.Target), Rate: r.Rate, Demand: float32(r.Demand), Share: float32(r.Share), Left: r.Left.Milliseconds(),
		})
	}
	for _, g := range m.Grants {
		w.Grants = append(w.Grants, wireGrant{Target: string(g.Target), Share: float32(g.Share), Term: g.Term.Milliseconds()})
	}
	data, err := cbor.Marshal(w)
	return data, errors.Wrap(err, "encoding a notice")
}

// Decode decodes a message. It fails if a number in it is out of range.
func Decode(data []byte) (Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Message{}, errors.Wrap(err, "decoding a notice")
	}
	if n := max(len(w.Reports), len(w.Grants)); n > maxItems {
		return Message{}, errors.Newf("notice has %d items of one kind; at most %d are allowed", n, maxItems)
	}
	m := Message{From: w.From}
	for _, r := range w.Reports {
		if !valid(r.Rate, float64(r.Demand), float64(r.Share)) {
			return Message{}, errors.Newf("report on target %q has a rate that is out of range", r.Target)
		}
		m.Reports = append(m.Reports, quota.Report{
			Target: magnoliashore.TargetID(r.Target), Rate: r.Rate, Demand: float64(r.Demand), Share: float64(r.Share), Left: fromMillis(r.Left),
		})
	}
	for _, g := range w.Grants {
		if !valid(float64(g.Share)) {
			return Message{}, errors.Newf("grant for target %q has a share that is out of range", g.Target)
		}
		m.Grants = append(m.Grants, quota.Grant{Target: magnoliashore.TargetID(g.Target), Share: float64(g.Share), Term: fromMillis(g.Term)})
	}
	return m, nil
}

// valid reports whether all rates are finite and not negative.
func valid(rates ...float64) bool {
	for _, rate := range rates {
		if !(rate >= 0) || math.IsInf(rate, 0) {
			return false
		}
	}
	return true
}

// maxDuration bounds the durations in a message.
const maxDuration = time.Hour

func fromMillis(n int64) time.Duration {
	return time.Duration(min(max(n, 0), maxDuration.Milliseconds())) * time.Millisecond
}
