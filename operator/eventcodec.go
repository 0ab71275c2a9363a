package operator

import (
	"bufio"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

// maxEventBytes is the maximum size of one event in JSON.
const maxEventBytes = 1 << 20

// eventMessage is the JSON form of an event.
type eventMessage struct {
	Order  uint64 `json:"order"`
	At     string `json:"at"` // RFC 3339 with nanoseconds, UTC
	Host   string `json:"host"`
	Code   int    `json:"code"`
	Event  string `json:"event"`
	Query  string `json:"query,omitempty"`
	Target string `json:"target,omitempty"`
	Peer   string `json:"peer,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// EncodeEvents writes events as JSON, one per line, in the given order.
func EncodeEvents(w io.Writer, events []magnoliashore.Event) error {
	encoder := json.NewEncoder(w)
	for _, e := range events {
		if err := encoder.Encode(newEventMessage(e)); err != nil {
			return magnoliashore.Step(err, "encode events", "")
		}
	}
	return nil
}

// DecodeEvents parses the output of EncodeEvents. Wall clock times are in UTC.
// A parse error names the line.
func DecodeEvents(r io.Reader) ([]magnoliashore.Event, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	var events []magnoliashore.Event
	line := 0
	for scanner.Scan() {
		line++
		if len(scanner.Bytes()) == 0 {
			continue
		}
		e, err := decodeEvent(scanner.Bytes())
		if err != nil {
			return nil, magnoliashore.Step(errors.Wrapf(err, "line %d", line), "decode events", "")
		}
		events = append(events, e)
	}
	return events, magnoliashore.Step(scanner.Err(), "read events", "")
}

func newEventMessage(e magnoliashore.Event) eventMessage {
	return eventMessage{
		Order:  e.Order(),
		At:     e.At().UTC().Format(time.RFC3339Nano),
		Host:   string(e.Host()),
		Code:   int(e.Code()),
		Event:  event.Name(e.Code()),
		Query:  string(e.Query()),
		Target: string(e.Target()),
		Peer:   e.Peer(),
		Detail: e.Detail(),
	}
}

func decodeEvent(data []byte) (magnoliashore.Event, error) {
	var m eventMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return magnoliashore.Event{}, err
	}
	at, err := time.Parse(time.RFC3339Nano, m.At)
	if err != nil {
		return magnoliashore.Event{}, errors.Wrap(err, "at")
	}
	e := magnoliashore.NewEvent(magnoliashore.EventSpec{
		Code:   magnoliashore.EventCode(m.Code),
		Host:   magnoliashore.HostID(m.Host),
		Query:  magnoliashore.QueryID(m.Query),
		Target: magnoliashore.TargetID(m.Target),
		Peer:   m.Peer,
		Detail: m.Detail,
	})
	return e.Stamp(at.UTC(), m.Order), nil
}
