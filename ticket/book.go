package ticket

import "github.com/magnoliashore/magnoliashore"

const (
	// answerBytes is the estimated size of an answer without its lists.
	answerBytes = 256
	// entryBytes is the estimated size of one entry of an answer's lists,
	// without its body.
	entryBytes = 64
)

// record is a finished ticket.
type record struct {
	answer magnoliashore.Answer
	bytes  int
	lost   bool // the answer is no longer held
}

// book holds the finished tickets of one epoch.
type book struct {
	records map[string]*record
	oldest  []*record // those that may lose their answer, in the order they finished
	bytes   int       // size of the held answers
	closed  bool      // takes no ticket that it does not hold
}

func newBook() *book { return &book{records: make(map[string]*record)} }

// len returns the number of finished tickets.
func (b *book) len() int { return len(b.records) }

// add records the answer to a ticket.
func (b *book) add(id string, answer magnoliashore.Answer) {
	r := &record{answer: answer, bytes: size(answer)}
	b.records[id] = r
	b.oldest = append(b.oldest, r)
	b.bytes += r.bytes
}

// lose drops the oldest answer of the book, or returns false if it has none. A
// notrun loses only its lists, so that it stays notrun.
func (b *book) lose() bool {
	if len(b.oldest) == 0 {
		return false
	}
	r := b.oldest[0]
	b.oldest[0] = nil
	b.oldest = b.oldest[1:]
	b.bytes -= r.bytes
	r.bytes = 0
	if r.answer.Outcome() == magnoliashore.OutcomeNotRun {
		r.answer = brief(r.answer)
		return true
	}
	r.answer = magnoliashore.Answer{}
	r.lost = true
	return true
}

// brief returns the answer without its lists.
func brief(a magnoliashore.Answer) magnoliashore.Answer {
	return magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Query:    a.Query(),
		Outcome:  a.Outcome(),
		Reason:   a.Reason(),
		Detail:   a.Detail(),
		After:    a.After(),
		Snapshot: a.Snapshot(),
		Host:     a.Host(),
	})
}

// size returns the estimated size of an answer, in bytes.
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
