package merge

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// element is one element of a partial result for a top-K merge.
type element struct {
	Score *float64
	Item  json.RawMessage
}

// parse returns the elements of a partial result; false means that it is
// malformed.
func parse(body []byte) ([]element, bool) {
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("[")) {
		return nil, false
	}
	var elements []element
	if json.Unmarshal(body, &elements) != nil {
		return nil, false
	}
	for _, e := range elements {
		if e.Score == nil || e.Item == nil {
			return nil, false
		}
	}
	return elements, true
}

// ranked is an item with its position in the partial result.
type ranked struct {
	item     magnoliashore.Item
	position int
}

// compare orders items by descending score, then by partition, then by position.
// It is negative if a ranks higher than b.
func compare(a, b ranked) int {
	return cmp.Or(
		cmp.Compare(b.item.Score(), a.item.Score()),
		cmp.Compare(a.item.Partition(), b.item.Partition()),
		cmp.Compare(a.position, b.position),
	)
}

// topK keeps the limit highest-ranked of the offered items.
type topK struct {
	limit int
	heap  []ranked // binary heap with the lowest-ranked item at index 0
}

// offer adds an item if it ranks among the highest limit ones.
func (t *topK) offer(score float64, partition magnoliashore.PartitionID, position int, body []byte) {
	r := ranked{item: magnoliashore.NewItem(score, partition, body), position: position}
	if len(t.heap) < t.limit {
		t.heap = append(t.heap, r)
		t.up(len(t.heap) - 1)
		return
	}
	if compare(r, t.heap[0]) >= 0 {
		return
	}
	t.heap[0] = r
	t.down()
}

// up moves the entry at i towards the root until its parent ranks lower.
func (t *topK) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compare(t.heap[i], t.heap[parent]) <= 0 {
			return
		}
		t.heap[i], t.heap[parent] = t.heap[parent], t.heap[i]
		i = parent
	}
}

// down moves the root towards the leaves until both children rank higher.
func (t *topK) down() {
	i := 0
	for {
		lowest := t.lowest(i)
		if lowest == i {
			return
		}
		t.heap[i], t.heap[lowest] = t.heap[lowest], t.heap[i]
		i = lowest
	}
}

// lowest returns the index of the lowest-ranked of the entry at i and its
// children.
func (t *topK) lowest(i int) int {
	lowest := i
	for child := 2*i + 1; child <= 2*i+2 && child < len(t.heap); child++ {
		if compare(t.heap[child], t.heap[lowest]) > 0 {
			lowest = child
		}
	}
	return lowest
}

// sorted returns the kept items, highest-ranked first.
func (t *topK) sorted() []magnoliashore.Item {
	if t.limit == 0 {
		return nil
	}
	order := slices.SortedFunc(slices.Values(t.heap), compare)
	items := make([]magnoliashore.Item, len(order))
	for i, r := range order {
		items[i] = r.item
	}
	return items
}
