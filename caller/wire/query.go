package wire

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Values of the key merge of a query.
const (
	mergeAll  = "all"
	mergeTopK = "best"
)

// queryMessage is the wire format of a query.
type queryMessage struct {
	ID         string         `json:"id,omitempty"`
	Group      string         `json:"group"`
	Services   []string       `json:"services,omitempty"`
	Body       []byte         `json:"body"`
	Deadline   *int64         `json:"deadline,omitempty"` // milliseconds left; nil if the query has no deadline
	AtMostOnce bool           `json:"once,omitempty"`
	Ticket     *ticketMessage `json:"ticket,omitempty"`
	Merge      string         `json:"merge,omitempty"`
	TopK       int            `json:"best,omitempty"`
}

// ticketMessage is the wire format of a ticket.
type ticketMessage struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	ID          string `json:"id"`
}

// EncodeQuery encodes a query for an entry host. It writes the deadline as the
// whole milliseconds left after now, at least one, and omits a zero deadline.
func EncodeQuery(format Format, query magnoliashore.Query, now time.Time) ([]byte, error) {
	message := queryMessage{
		ID:         string(query.ID()),
		Group:      string(query.Group()),
		Services:   toStrings(query.Services()),
		Body:       query.Body(),
		Deadline:   millisecondsLeft(query.Deadline(), now),
		AtMostOnce: query.Once(),
		Ticket:     encodeTicket(query.Ticket()),
		Merge:      mergeAll,
	}
	if topK := query.Merge().Best(); topK > 0 {
		message.Merge = mergeTopK
		message.TopK = topK
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

func millisecondsLeft(deadline, now time.Time) *int64 {
	if deadline.IsZero() {
		return nil
	}
	ms := max(1, deadline.Sub(now).Milliseconds())
	return &ms
}

func toStrings[T ~string](list []T) []string {
	texts := make([]string, 0, len(list))
	for _, item := range list {
		texts = append(texts, string(item))
	}
	return texts
}

func fromStrings[T ~string](list []string) []T {
	names := make([]T, 0, len(list))
	for _, item := range list {
		names = append(names, T(item))
	}
	return names
}
