package entry

import (
	"sync"

	"github.com/magnoliashore/magnoliashore"
)

// mailbox passes the answers to one query to its gatherer. It holds at most one
// answer for each attempt.
type mailbox struct {
	ready chan struct{} // has an element while answers are waiting

	mu   sync.Mutex
	list []magnoliashore.SubAnswer
}

// newMailbox returns a mailbox with an initial capacity. It grows when retries and
// hedges bring more answers.
func newMailbox(capacity int) *mailbox {
	return &mailbox{ready: make(chan struct{}, 1), list: make([]magnoliashore.SubAnswer, 0, capacity)}
}

// put adds an answer without blocking. It may be called from any goroutine.
func (m *mailbox) put(answer magnoliashore.SubAnswer) {
	m.mu.Lock()
	m.list = append(m.list, answer)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// swap returns the waiting answers and uses buffer to store the next ones.
func (m *mailbox) swap(buffer []magnoliashore.SubAnswer) []magnoliashore.SubAnswer {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.list
	m.list = buffer[:0]
	return list
}
