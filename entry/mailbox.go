package entry

import (
	"sync"

	"github.com/magnoliashore/magnoliashore"
)

// mailbox hands the answers to one query over to its gatherer. It holds at
// most one answer for each attempt that the gatherer makes.
type mailbox struct {
	ready chan struct{} // has an element while answers wait

	mu   sync.Mutex
	list []magnoliashore.SubAnswer
}

// newMailbox returns a mailbox with room for the given number of answers; it
// grows when retries and hedges bring more.
func newMailbox(room int) *mailbox {
	return &mailbox{ready: make(chan struct{}, 1), list: make([]magnoliashore.SubAnswer, 0, room)}
}

// put adds an answer. It may be called from any goroutine and does not block.
func (m *mailbox) put(answer magnoliashore.SubAnswer) {
	m.mu.Lock()
	m.list = append(m.list, answer)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// swap returns the answers that wait and keeps empty for the next ones.
func (m *mailbox) swap(empty []magnoliashore.SubAnswer) []magnoliashore.SubAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.list
	m.list = empty[:0]
	return list
}
