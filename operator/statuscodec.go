package operator

import (
	"encoding/json"
	"io"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// statusMessage is the JSON form of a Status.
type statusMessage struct {
	At          string         `json:"at"` // RFC 3339 with nanoseconds, UTC
	Host        string         `json:"host"`
	Incarnation uint64         `json:"incarnation"`
	Table       uint64         `json:"table"`
	Layout      uint64         `json:"layout"`
	Seats       []seatMessage  `json:"seats"`
	Leases      []leaseMessage `json:"leases"`
}

type seatMessage struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Reached     bool   `json:"reached"`
}

type leaseMessage struct {
	Target string `json:"target"`
	Left   int64  `json:"left"` // milliseconds
}

// EncodeStatus encodes a status as JSON. at is the wall clock time at which the
// status was taken. Remaining times are in whole milliseconds.
func EncodeStatus(s Status, at time.Time) ([]byte, error) {
	message := statusMessage{
		At:          at.UTC().Format(time.RFC3339Nano),
		Host:        string(s.Host()),
		Incarnation: uint64(s.Incarnation()),
		Table:       uint64(s.Table()),
		Layout:      uint64(s.Layout()),
		Seats:       make([]seatMessage, 0, len(s.Seats())),
		Leases:      make([]leaseMessage, 0, len(s.Leases())),
	}
	for _, seat := range s.Seats() {
		message.Seats = append(message.Seats, seatMessage{
			Host: string(seat.Host()), Incarnation: uint64(seat.Incarnation()), Reached: seat.Reached(),
		})
	}
	for _, lease := range s.Leases() {
		message.Leases = append(message.Leases, leaseMessage{
			Target: string(lease.Target()), Left: lease.Remaining().Milliseconds(),
		})
	}
	data, err := json.MarshalIndent(message, "", "  ")
	return append(data, '\n'), magnoliashore.Step(err, "encode status", "")
}

// DecodeStatus parses a status that EncodeStatus encoded.
func DecodeStatus(r io.Reader) (Status, error) {
	var message statusMessage
	if err := json.NewDecoder(r).Decode(&message); err != nil {
		return Status{}, magnoliashore.Step(err, "decode status", "")
	}
	spec := StatusSpec{
		Host:        magnoliashore.HostID(message.Host),
		Incarnation: magnoliashore.Incarnation(message.Incarnation),
		Table:       magnoliashore.Version(message.Table),
		Layout:      magnoliashore.Version(message.Layout),
	}
	for _, seat := range message.Seats {
		spec.Seats = append(spec.Seats, NewSeatStatus(
			magnoliashore.HostID(seat.Host), magnoliashore.Incarnation(seat.Incarnation), seat.Reached))
	}
	for _, lease := range message.Leases {
		spec.Leases = append(spec.Leases, NewLeaseStatus(
			magnoliashore.TargetID(lease.Target), time.Duration(lease.Left)*time.Millisecond))
	}
	return NewStatus(spec), nil
}
