package wire

import (
	"fmt"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Limits of the fields of a query.
const (
	MaxDeadline      = time.Minute
	maxNameBytes     = 128 // limit for query ids, group names and service names
	maxServices      = 4096
	maxTopK          = 65536
	maxTicketIDBytes = 64
)

// RequestError describes an invalid request of a caller.
type RequestError struct {
	reason  magnoliashore.Reason
	field   string
	message string
}

// Error returns the key of the field and the fault.
func (e *RequestError) Error() string {
	if e.field == "" {
		return e.message
	}
	return e.field + ": " + e.message
}

// Reason returns the reason to give in the answer: "request" or "ticket".
func (e *RequestError) Reason() magnoliashore.Reason { return e.reason }

// Field returns the key of the invalid field. It is empty if the message as a
// whole cannot be decoded.
func (e *RequestError) Field() string { return e.field }

func fieldError(field, format string, args ...any) error {
	return &RequestError{reason: magnoliashore.ReasonRequest, field: field, message: fmt.Sprintf(format, args...)}
}

func ticketError(field, format string, args ...any) error {
	return &RequestError{reason: magnoliashore.ReasonTicket, field: field, message: fmt.Sprintf(format, args...)}
}

// DecodeQuery decodes and validates a query, and refuses unknown keys. Every
// error is a *RequestError. The deadline counts from now, a time of this process's
// clock, and is zero if the query has none. With an error, the returned query has
// only an id, which is empty if it was not decoded or is too long.
func DecodeQuery(format Format, data []byte, now time.Time) (magnoliashore.Query, error) {
	message, err := readQuery(format.codec(), data)
	if err == nil {
		err = checkQuery(message)
	}
	if err != nil {
		return magnoliashore.NewQuery(magnoliashore.QuerySpec{ID: idForError(message.ID)}), err
	}
	return newQuery(message, now), nil
}

func readQuery(c codec, data []byte) (queryMessage, error) {
	var m queryMessage
	var ticket rawValue
	err := readFields(c, data, "", []fieldSpec{
		{"id", &m.ID},
		{"group", &m.Group},
		{"services", &m.Services},
		{"body", &m.Body},
		{"deadline", &m.Deadline},
		{"once", &m.AtMostOnce},
		{"ticket", &ticket},
		{"merge", &m.Merge},
		{"best", &m.TopK},
	})
	if err != nil || ticket.empty() {
		return m, err
	}
	m.Ticket = &ticketMessage{}
	return m, readFields(c, ticket, "ticket.", []fieldSpec{
		{"host", &m.Ticket.Host},
		{"incarnation", &m.Ticket.Incarnation},
		{"epoch", &m.Ticket.Epoch},
		{"id", &m.Ticket.ID},
	})
}

// idForError returns an id to repeat in an error answer, or an empty id if it is
// too long.
func idForError(id string) magnoliashore.QueryID {
	if len(id) > maxNameBytes {
		return ""
	}
	return magnoliashore.QueryID(id)
}

func newQuery(m queryMessage, now time.Time) magnoliashore.Query {
	spec := magnoliashore.QuerySpec{
		ID:       magnoliashore.QueryID(m.ID),
		Group:    magnoliashore.GroupName(m.Group),
		Services: fromStrings[magnoliashore.ServiceName](m.Services),
		Body:     m.Body,
		Once:     m.AtMostOnce,
		Merge:    magnoliashore.MergeAll(),
	}
	if m.Deadline != nil {
		spec.Deadline = now.Add(time.Duration(*m.Deadline) * time.Millisecond)
	}
	if m.Merge == mergeTopK {
		spec.Merge = magnoliashore.MergeBest(m.TopK)
	}
	if t := m.Ticket; t != nil {
		spec.Ticket = magnoliashore.NewTicket(magnoliashore.HostID(t.Host),
			magnoliashore.Incarnation(t.Incarnation), magnoliashore.Epoch(t.Epoch), t.ID)
	}
	return magnoliashore.NewQuery(spec)
}
