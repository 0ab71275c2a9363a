package ticket

import "github.com/magnoliashore/magnoliashore"

const (
	// answerBytes is the estimated size of an answer without its lists.
	answerBytes = 256
	// entryBytes is the estimated size of one list entry of an answer, without its
	// body.
	entryBytes = 64
)

// record holds the answer of a finished ticket.
type record struct {
	answer  magnoliashore.Answer
	bytes   int
	dropped bool // the answer has been dropped to free memory
}

// epochRecords holds the finished tickets of one epoch.
type epochRecords struct {
	records map[string]*record
	oldest  []*record // records that hold a full answer, in the order in which they finished
	bytes   int       // estimated size of the held answers
	closed  bool      // new tickets are refused
}

func newEpochRecords() *epochRecords { return &epochRecords{records: make(map[string]*record)} }

// len returns the number of finished tickets.
func (e *epochRecords) len() int { return len(e.records) }

// add records the answer to a ticket.
func (e *epochRecords) add(id string, answer magnoliashore.Answer) {
	r := &record{answer: answer, bytes: size(answer)}
	e.records[id] = r
	e.oldest = append(e.oldest, r)
	e.bytes += r.bytes
}

// dropOldest drops the oldest answer, or returns false if there is none. A notrun
// answer is kept without its lists, so that the ticket stays notrun.
func (e *epochRecords) dropOldest() bool {
	if len(e.oldest) == 0 {
		return false
	}
	r := e.oldest[0]
	e.oldest[0] = nil
	e.oldest = e.oldest[1:]
	e.bytes -= r.bytes
	r.bytes = 0
	if r.answer.Outcome() == magnoliashore.OutcomeNotRun {
		r.answer = withoutLists(r.answer)
		return true
	}
	r.answer = magnoliashore.Answer{}
	r.dropped = true
	return true
}

// withoutLists returns the answer without its lists.
func withoutLists(a magnoliashore.Answer) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:      a.Query(),
		Outcome:    a.Outcome(),
		Reason:     a.Reason(),
		Detail:     a.Detail(),
		RetryAfter: a.RetryAfter(),
		Snapshot:   a.Snapshot(),
		Host:       a.Host(),
	})
}

// size returns the estimated size of an answer in bytes.
func size(a magnoliashore.Answer) int {
	total := answerBytes + len(a.Detail())
	for _, p := range a.Parts() {
		total += entryBytes + len(p.Body())
	}
	for _, i := range a.Items() {
		total += entryBytes + len(i.Body())
	}
	entries := len(a.Coverage().Missing()) + len(a.Coverage().Zones())
	return total + entries*entryBytes
}
