package proof

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// attempt is one attempt of a caller to send an at-most-once request, with the
// outcome that the caller received. All attempts of one request carry the same
// query id and ticket.
type attempt struct {
	query    magnoliashore.QueryID
	scenario string
	start    time.Time
	end      time.Time
	outcome  magnoliashore.Outcome
	reason   magnoliashore.Reason
	covered  []magnoliashore.PartitionID
	failed   bool // no answer arrived
}

// history records the attempts of a test.
type history struct {
	mu       sync.Mutex
	attempts []attempt
}

// record adds an attempt that began at start and has just ended.
func (h *history) record(scenario string, id magnoliashore.QueryID, start time.Time, answer magnoliashore.Answer, err error) {
	a := attempt{
		query: id, scenario: scenario, start: start, end: time.Now(),
		outcome: answer.Outcome(), reason: answer.Reason(), failed: err != nil,
	}
	for _, part := range answer.Parts() {
		a.covered = append(a.covered, part.Partition())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts = append(h.attempts, a)
}

func (h *history) all() []attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]attempt(nil), h.attempts...)
}

// count returns the number of matching attempts.
func (h *history) count(match func(attempt) bool) int {
	n := 0
	for _, a := range h.all() {
		if match(a) {
			n++
		}
	}
	return n
}

// runKey identifies the runs of one request on one partition.
type runKey struct {
	query     magnoliashore.QueryID
	partition magnoliashore.PartitionID
}

// begunRuns returns the ledger entries of at-most-once requests that began to run,
// by request and partition.
func (c *cell) begunRuns() map[runKey][]standin.Entry {
	all := make(map[runKey][]standin.Entry)
	for _, e := range c.ledger() {
		if e.Begun() && e.AtMostOnce() {
			key := runKey{query: e.Query(), partition: e.Partition()}
			all[key] = append(all[key], e)
		}
	}
	return all
}

// check compares the outcomes that the callers received with the targets' ledgers.
func (h *history) check(t *testing.T, begun map[runKey][]standin.Entry) {
	t.Helper()
	for key, entries := range begun {
		if len(entries) > 1 {
			t.Errorf("query %s, partition %s: got %d runs, at %s and %s, want at most 1",
				key.query, key.partition, len(entries), entries[0].Target(), entries[1].Target())
		}
	}
	for _, a := range h.all() {
		h.checkOne(t, a, begun)
	}
	h.checkLinearizable(t, begun)
}

func (h *history) checkOne(t *testing.T, a attempt, begun map[runKey][]standin.Entry) {
	t.Helper()
	if a.outcome == magnoliashore.OutcomeRan {
		for _, partition := range a.covered {
			if got := len(begun[runKey{a.query, partition}]); got != 1 {
				t.Errorf("query %s (%s), ran with partition %s: got %d runs, want 1", a.query, a.scenario, partition, got)
			}
		}
	}
	if a.outcome != magnoliashore.OutcomeNotRun {
		return
	}
	for key, entries := range begun {
		if key.query == a.query {
			t.Errorf("query %s (%s), notrun (%s): got a run of partition %s at %s, want none",
				a.query, a.scenario, a.reason, key.partition, entries[0].Target())
		}
	}
}

// checkLinearizable checks that the attempts and the runs of every request are
// linearizable under ticketModel.
func (h *history) checkLinearizable(t *testing.T, begun map[runKey][]standin.Entry) {
	t.Helper()
	byQuery := make(map[magnoliashore.QueryID][]porcupine.Operation)
	for _, a := range h.all() {
		byQuery[a.query] = append(byQuery[a.query], porcupine.Operation{
			Input:  step{kind: stepAnswer},
			Output: a,
			Call:   a.start.UnixNano(),
			Return: a.end.UnixNano(),
		})
	}
	for key, entries := range begun {
		for _, e := range entries {
			byQuery[key.query] = append(byQuery[key.query], porcupine.Operation{
				Input:  step{kind: stepRun, partition: key.partition},
				Call:   e.Start().UnixNano(),
				Return: e.End().UnixNano(),
			})
		}
	}
	for id, operations := range byQuery {
		if !porcupine.CheckOperations(ticketModel(), operations) {
			t.Errorf("query %s: got a history that is not linearizable, want one: %s", id, formatOperations(operations))
		}
	}
}

// Kinds of operation in the history of one ticket.
const (
	stepAnswer = iota // a caller sends the ticket and receives an outcome
	stepRun           // a target begins to run one partition
)

type step struct {
	kind      int
	partition magnoliashore.PartitionID
}

// ticketState is the state of one ticket. Porcupine compares states by value, so
// the partitions that ran are kept in a string.
type ticketState struct {
	saidRan    bool   // an answer said ran
	saidNotRun bool   // an answer said notrun
	runs       string // names of the partitions that ran, each after a space
}

func (ts ticketState) hasRun(partition magnoliashore.PartitionID) bool {
	return slices.Contains(strings.Fields(ts.runs), string(partition))
}

// ticketModel returns the model of one ticket: each partition runs at most once,
// no partition runs after notrun was answered, and an answer ran covers only
// partitions that ran before it.
func ticketModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return ticketState{} },
		Step: func(state, input, output any) (bool, any) {
			ts, okState := state.(ticketState)
			s, okInput := input.(step)
			if !okState || !okInput {
				return false, state
			}
			if s.kind == stepRun {
				return ts.recordRun(s.partition)
			}
			a, ok := output.(attempt)
			if !ok {
				return false, state
			}
			return ts.recordAnswer(a)
		},
	}
}

func (ts ticketState) recordRun(partition magnoliashore.PartitionID) (bool, any) {
	if ts.saidNotRun || ts.hasRun(partition) {
		return false, ts
	}
	ts.runs += " " + string(partition)
	return true, ts
}

func (ts ticketState) recordAnswer(a attempt) (bool, any) {
	switch a.outcome {
	case magnoliashore.OutcomeRan:
		for _, partition := range a.covered {
			if !ts.hasRun(partition) {
				return false, ts
			}
		}
		ok := !ts.saidNotRun
		ts.saidRan = true
		return ok, ts
	case magnoliashore.OutcomeNotRun:
		ok := !ts.saidRan && ts.runs == ""
		ts.saidNotRun = true
		return ok, ts
	default:
		return true, ts
	}
}

// formatOperations lists the operations, one per line, for failure messages.
func formatOperations(operations []porcupine.Operation) string {
	text := ""
	for _, o := range operations {
		text += fmt.Sprintf("\n  %d to %d: %+v %+v", o.Call, o.Return, o.Input, o.Output)
	}
	return text
}

// TestRegister checks that ticketModel accepts allowed histories and rejects
// forbidden ones.
func TestRegister(t *testing.T) {
	t.Parallel()
	run := func(partition string, call, end int64) porcupine.Operation {
		return porcupine.Operation{
			Input: step{kind: stepRun, partition: magnoliashore.PartitionID(partition)}, Call: call, Return: end,
		}
	}
	answer := func(outcome magnoliashore.Outcome, call, end int64, covered ...magnoliashore.PartitionID) porcupine.Operation {
		return porcupine.Operation{
			Input: step{kind: stepAnswer}, Output: attempt{outcome: outcome, covered: covered}, Call: call, Return: end,
		}
	}
	const ran, notrun, unknown = magnoliashore.OutcomeRan, magnoliashore.OutcomeNotRun, magnoliashore.OutcomeUnknown
	for _, test := range []struct {
		name string
		list []porcupine.Operation
		want bool
	}{
		{"ran once", []porcupine.Operation{answer(ran, 1, 9, "p"), run("p", 2, 3), answer(ran, 10, 11, "p")}, true},
		{"second run", []porcupine.Operation{answer(ran, 1, 9, "p"), run("p", 2, 3), run("p", 12, 13)}, false},
		{"ran before its run", []porcupine.Operation{answer(ran, 1, 2, "p"), run("p", 3, 4)}, false},
		{"notrun and then a run", []porcupine.Operation{answer(notrun, 1, 2), run("p", 3, 4)}, false},
		{"notrun after a run", []porcupine.Operation{run("p", 1, 2), answer(notrun, 3, 4)}, false},
		{"notrun and ran", []porcupine.Operation{answer(notrun, 1, 5), answer(ran, 2, 6)}, false},
		{"unknown and notrun", []porcupine.Operation{answer(unknown, 1, 2), answer(notrun, 3, 4)}, true},
		{"unknown and a late run", []porcupine.Operation{answer(unknown, 1, 2), run("p", 3, 4)}, true},
	} {
		if got := porcupine.CheckOperations(ticketModel(), test.list); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
