package operator

import (
	"encoding/json"

	"github.com/magnoliashore/magnoliashore"
)

// statusMessage is a status in JSON.
type statusMessage struct {
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

// EncodeStatus writes a status as JSON, times in whole milliseconds.
func EncodeStatus(s Status) ([]byte, error) {
	message := statusMessage{
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
			Target: string(lease.Target()), Left: lease.Left().Milliseconds(),
		})
	}
	data, err := json.MarshalIndent(message, "", "  ")
	return append(data, '\n'), magnoliashore.Step(err, "encode status", "")
}
