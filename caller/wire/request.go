package wire

import (
	"fmt"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// The ranges of a query.
const (
	MaxDeadline = time.Minute
	maxName     = 128 // bytes of an id, group or service
	maxServices = 4096
	maxBest     = 65536
	maxTicket   = 64 // bytes of a ticket's id
)

// RequestError says what is wrong with a request of a caller.
type RequestError struct {
	reason magnoliashore.Reason
	field  string
	text   string
}

// Error returns the field and what is wrong with it.
func (e *RequestError) Error() string {
	if e.field == "" {
		return e.text
	}
	return e.field + ": " + e.text
}

// Reason returns the reason for the answer: "request" or "ticket".
func (e *RequestError) Reason() magnoliashore.Reason { return e.reason }

// Field returns the key of the field; empty if the message cannot be read.
func (e *RequestError) Field() string { return e.field }

func wrongField(field, format string, args ...any) error {
	return &RequestError{reason: magnoliashore.ReasonRequest, field: field, text: fmt.Sprintf(format, args...)}
}

func wrongTicket(field, format string, args ...any) error {
	return &RequestError{reason: magnoliashore.ReasonTicket, field: field, text: fmt.Sprintf(format, args...)}
}

// DecodeQuery reads a query strictly; every error is a *RequestError. now is
// the time on the clock of this process from which the deadline runs. The
// deadline is zero if the query states none. The query's id, which may not be
// known, is returned with an error too.
func DecodeQuery(format Format, data []byte, now time.Time) (magnoliashore.Query, error) {
	message, err := readQuery(format.codec(), data)
	if err == nil {
		err = checkQuery(message)
	}
	if err != nil {
		return magnoliashore.NewQuery(magnoliashore.QuerySpec{ID: readableID(message.ID)}), err
	}
	return newQuery(message, now), nil
}

func readQuery(c codec, data []byte) (queryMessage, error) {
	var m queryMessage
	var ticket rawValue
	err := readFields(c, data, "", []slot{
		{"id", &m.ID},
		{"group", &m.Group},
		{"services", &m.Services},
		{"body", &m.Body},
		{"deadline", &m.Deadline},
		{"once", &m.Once},
		{"ticket", &ticket},
		{"merge", &m.Merge},
		{"best", &m.Best},
	})
	if err != nil || ticket.empty() {
		return m, err
	}
	m.Ticket = &ticketMessage{}
	return m, readFields(c, ticket, "ticket.", []slot{
		{"host", &m.Ticket.Host},
		{"incarnation", &m.Ticket.Incarnation},
		{"epoch", &m.Ticket.Epoch},
		{"id", &m.Ticket.ID},
	})
}

// readableID returns an id to repeat in an error; an overlong one is left out.
func readableID(id string) magnoliashore.QueryID {
	if len(id) > maxName {
		return ""
	}
	return magnoliashore.QueryID(id)
}

func newQuery(m queryMessage, now time.Time) magnoliashore.Query {
	spec := magnoliashore.QuerySpec{
		ID:       magnoliashore.QueryID(m.ID),
		Group:    magnoliashore.GroupName(m.Group),
		Services: named[magnoliashore.ServiceName](m.Services),
		Body:     m.Body,
		Once:     m.Once,
		Merge:    magnoliashore.MergeAll(),
	}
	if m.Deadline != nil {
		spec.Deadline = now.Add(time.Duration(*m.Deadline) * time.Millisecond)
	}
	if m.Merge == mergeBest {
		spec.Merge = magnoliashore.MergeBest(m.Best)
	}
	if t := m.Ticket; t != nil {
		spec.Ticket = magnoliashore.NewTicket(magnoliashore.HostID(t.Host),
			magnoliashore.Incarnation(t.Incarnation), magnoliashore.Epoch(t.Epoch), t.ID)
	}
	return magnoliashore.NewQuery(spec)
}
