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

// asked is one send of a request that runs at most once, with what the caller
// was told. All sends of one request carry its query id and its ticket.
type asked struct {
	query   magnoliashore.QueryID
	how     string
	call    time.Time
	end     time.Time
	outcome magnoliashore.Outcome
	reason  magnoliashore.Reason
	covered []magnoliashore.PartitionID
	failed  bool // no answer arrived
}

// history records the sends of a test.
type history struct {
	mu   sync.Mutex
	list []asked
}

// record notes one send that began at call and has just ended.
func (h *history) record(how string, id magnoliashore.QueryID, call time.Time, answer magnoliashore.Answer, err error) {
	one := asked{
		query: id, how: how, call: call, end: time.Now(),
		outcome: answer.Outcome(), reason: answer.Reason(), failed: err != nil,
	}
	for _, part := range answer.Parts() {
		one.covered = append(one.covered, part.Partition())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, one)
}

func (h *history) all() []asked {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]asked(nil), h.list...)
}

// count returns how many sends match.
func (h *history) count(match func(asked) bool) int {
	n := 0
	for _, one := range h.all() {
		if match(one) {
			n++
		}
	}
	return n
}

// work is what the targets record of one (request, partition).
type work struct {
	query     magnoliashore.QueryID
	partition magnoliashore.PartitionID
}

// begun returns the ledger entries of once requests that began, by request
// and partition.
func (c *cell) begun() map[work][]standin.Entry {
	all := make(map[work][]standin.Entry)
	for _, e := range c.ledger() {
		if e.Begun() && e.AtMostOnce() {
			key := work{query: e.Query(), partition: e.Partition()}
			all[key] = append(all[key], e)
		}
	}
	return all
}

// check compares what callers were told with what the targets did.
func (h *history) check(t *testing.T, begun map[work][]standin.Entry) {
	t.Helper()
	for key, entries := range begun {
		if len(entries) > 1 {
			t.Errorf("query %s, partition %s: got %d runs, at %s and %s, want at most 1",
				key.query, key.partition, len(entries), entries[0].Target(), entries[1].Target())
		}
	}
	for _, one := range h.all() {
		h.checkOne(t, one, begun)
	}
	h.checkLinearizable(t, begun)
}

func (h *history) checkOne(t *testing.T, one asked, begun map[work][]standin.Entry) {
	t.Helper()
	if one.outcome == magnoliashore.OutcomeRan {
		for _, partition := range one.covered {
			if got := len(begun[work{one.query, partition}]); got != 1 {
				t.Errorf("query %s (%s), ran with partition %s: got %d runs, want 1", one.query, one.how, partition, got)
			}
		}
	}
	if one.outcome != magnoliashore.OutcomeNotRun {
		return
	}
	for key, entries := range begun {
		if key.query == one.query {
			t.Errorf("query %s (%s), notrun (%s): got a run of partition %s at %s, want none",
				one.query, one.how, one.reason, key.partition, entries[0].Target())
		}
	}
}

// checkLinearizable checks the sends and the runs of every request against the
// register of its ticket.
func (h *history) checkLinearizable(t *testing.T, begun map[work][]standin.Entry) {
	t.Helper()
	byQuery := make(map[magnoliashore.QueryID][]porcupine.Operation)
	for _, one := range h.all() {
		byQuery[one.query] = append(byQuery[one.query], porcupine.Operation{
			Input:  step{kind: stepAsk},
			Output: one,
			Call:   one.call.UnixNano(),
			Return: one.end.UnixNano(),
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
		if !porcupine.CheckOperations(register(), operations) {
			t.Errorf("query %s: got a history that is not linearizable, want one: %s", id, describe(operations))
		}
	}
}

// The kinds of step in the history of one ticket.
const (
	stepAsk = iota // a caller sends the ticket and is told an outcome
	stepRun        // a target begins to run one partition
)

type step struct {
	kind      int
	partition magnoliashore.PartitionID
}

// fate is the state of one ticket. It is compared by value, so the partitions
// that ran are kept as a text.
type fate struct {
	ran     bool // an answer said so
	refused bool // an answer said notrun
	runs    string
}

func (f fate) has(partition magnoliashore.PartitionID) bool {
	return slices.Contains(strings.Fields(f.runs), string(partition))
}

// register is the model of one ticket: each partition runs at most once,
// nothing runs after notrun, and ran covers only what ran before.
func register() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return fate{} },
		Step: func(state, input, output any) (bool, any) {
			f, okState := state.(fate)
			s, okInput := input.(step)
			if !okState || !okInput {
				return false, state
			}
			if s.kind == stepRun {
				return f.run(s.partition)
			}
			one, ok := output.(asked)
			if !ok {
				return false, state
			}
			return f.tell(one)
		},
	}
}

func (f fate) run(partition magnoliashore.PartitionID) (bool, any) {
	if f.refused || f.has(partition) {
		return false, f
	}
	f.runs += " " + string(partition)
	return true, f
}

func (f fate) tell(one asked) (bool, any) {
	switch one.outcome {
	case magnoliashore.OutcomeRan:
		for _, partition := range one.covered {
			if !f.has(partition) {
				return false, f
			}
		}
		ok := !f.refused
		f.ran = true
		return ok, f
	case magnoliashore.OutcomeNotRun:
		ok := !f.ran && f.runs == ""
		f.refused = true
		return ok, f
	default:
		return true, f
	}
}

// describe lists the operations for a message.
func describe(operations []porcupine.Operation) string {
	text := ""
	for _, o := range operations {
		text += fmt.Sprintf("\n  %d to %d: %+v %+v", o.Call, o.Return, o.Input, o.Output)
	}
	return text
}

// TestRegister checks that the model refuses what must not happen.
func TestRegister(t *testing.T) {
	t.Parallel()
	run := func(partition string, call, end int64) porcupine.Operation {
		return porcupine.Operation{
			Input: step{kind: stepRun, partition: magnoliashore.PartitionID(partition)}, Call: call, Return: end,
		}
	}
	tell := func(outcome magnoliashore.Outcome, call, end int64, covered ...magnoliashore.PartitionID) porcupine.Operation {
		return porcupine.Operation{
			Input: step{kind: stepAsk}, Output: asked{outcome: outcome, covered: covered}, Call: call, Return: end,
		}
	}
	const ran, notrun, unknown = magnoliashore.OutcomeRan, magnoliashore.OutcomeNotRun, magnoliashore.OutcomeUnknown
	for _, test := range []struct {
		name string
		list []porcupine.Operation
		want bool
	}{
		{"ran once", []porcupine.Operation{tell(ran, 1, 9, "p"), run("p", 2, 3), tell(ran, 10, 11, "p")}, true},
		{"second run", []porcupine.Operation{tell(ran, 1, 9, "p"), run("p", 2, 3), run("p", 12, 13)}, false},
		{"ran before its run", []porcupine.Operation{tell(ran, 1, 2, "p"), run("p", 3, 4)}, false},
		{"notrun and then a run", []porcupine.Operation{tell(notrun, 1, 2), run("p", 3, 4)}, false},
		{"notrun after a run", []porcupine.Operation{run("p", 1, 2), tell(notrun, 3, 4)}, false},
		{"notrun and ran", []porcupine.Operation{tell(notrun, 1, 5), tell(ran, 2, 6)}, false},
		{"unknown and notrun", []porcupine.Operation{tell(unknown, 1, 2), tell(notrun, 3, 4)}, true},
		{"unknown and a late run", []porcupine.Operation{tell(unknown, 1, 2), run("p", 3, 4)}, true},
	} {
		if got := porcupine.CheckOperations(register(), test.list); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
