package wire

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// The ways to merge, as queries write them.
const (
	mergeAll  = "all"
	mergeBest = "best"
)

// queryMessage is a query on the wire.
type queryMessage struct {
	ID       string         `json:"id,omitempty"`
	Group    string         `json:"group"`
	Services []string       `json:"services,omitempty"`
	Body     []byte         `json:"body"`
	Deadline *int64         `json:"deadline,omitempty"` // milliseconds left
	Once     bool           `json:"once,omitempty"`
	Ticket   *ticketMessage `json:"ticket,omitempty"`
	Merge    string         `json:"merge,omitempty"`
	Best     int            `json:"best,omitempty"`
}

// ticketMessage is a ticket on the wire.
type ticketMessage struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	ID          string `json:"id"`
}

// EncodeQuery writes a query for a caller. The deadline is written as the
// whole milliseconds left after now, at least one; a zero deadline is left
// out.
func EncodeQuery(format Format, query magnoliashore.Query, now time.Time) ([]byte, error) {
	message := queryMessage{
		ID:       string(query.ID()),
		Group:    string(query.Group()),
		Services: texts(query.Services()),
		Body:     query.Body(),
		Deadline: left(query.Deadline(), now),
		Once:     query.Once(),
		Ticket:   encodeTicket(query.Ticket()),
		Merge:    mergeAll,
	}
	if best := query.Merge().Best(); best > 0 {
		message.Merge = mergeBest
		message.Best = best
	}
	data, err := format.codec().encode(message)
	return data, magnoliashore.Step(err, "encode query", "")
}

func encodeTicket(t magnoliashore.Ticket) *ticketMessage {
	if t.IsZero() {
		return nil
	}
	return &ticketMessage{
		Host:        string(t.Host()),
		Incarnation: uint64(t.Incarnation()),
		Epoch:       uint64(t.Epoch()),
		ID:          t.ID(),
	}
}

func left(deadline, now time.Time) *int64 {
	if deadline.IsZero() {
		return nil
	}
	ms := max(1, deadline.Sub(now).Milliseconds())
	return &ms
}

func texts[T ~string](list []T) []string {
	out := make([]string, 0, len(list))
	for _, item := range list {
		out = append(out, string(item))
	}
	return out
}

func named[T ~string](list []string) []T {
	out := make([]T, 0, len(list))
	for _, item := range list {
		out = append(out, T(item))
	}
	return out
}
