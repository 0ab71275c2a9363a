package merge

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// row is one element of a part for a best-N merge.
type row struct {
	Score *float64
	Item  json.RawMessage
}

// parse returns the elements of a part; false means that it is malformed.
func parse(body []byte) ([]row, bool) {
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("[")) {
		return nil, false
	}
	var rows []row
	if json.Unmarshal(body, &rows) != nil {
		return nil, false
	}
	for _, r := range rows {
		if r.Score == nil || r.Item == nil {
			return nil, false
		}
	}
	return rows, true
}

// ranked is an item with its place in the order.
type ranked struct {
	item     magnoliashore.Item
	position int
}

// compare returns a negative number if a is better than b.
func compare(a, b ranked) int {
	return cmp.Or(
		cmp.Compare(b.item.Score(), a.item.Score()),
		cmp.Compare(a.item.Partition(), b.item.Partition()),
		cmp.Compare(a.position, b.position),
	)
}

// best keeps the best items seen, at most limit. heap is a binary heap with
// the worst kept item at index 0.
type best struct {
	limit int
	heap  []ranked
}

func (b *best) offer(score float64, partition magnoliashore.PartitionID, position int, body []byte) {
	r := ranked{item: magnoliashore.NewItem(score, partition, body), position: position}
	if len(b.heap) < b.limit {
		b.heap = append(b.heap, r)
		b.up(len(b.heap) - 1)
		return
	}
	if compare(r, b.heap[0]) >= 0 {
		return
	}
	b.heap[0] = r
	b.down()
}

// up moves the entry at i towards the root until its parent is worse.
func (b *best) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compare(b.heap[i], b.heap[parent]) <= 0 {
			return
		}
		b.heap[i], b.heap[parent] = b.heap[parent], b.heap[i]
		i = parent
	}
}

// down moves the root towards the leaves until both children are better.
func (b *best) down() {
	i := 0
	for {
		worst := b.worst(i)
		if worst == i {
			return
		}
		b.heap[i], b.heap[worst] = b.heap[worst], b.heap[i]
		i = worst
	}
}

// worst returns the index of the worst among the entry at i and its children.
func (b *best) worst(i int) int {
	worst := i
	for child := 2*i + 1; child <= 2*i+2 && child < len(b.heap); child++ {
		if compare(b.heap[child], b.heap[worst]) > 0 {
			worst = child
		}
	}
	return worst
}

// sorted returns the kept items, the best first.
func (b *best) sorted() []magnoliashore.Item {
	if b.limit == 0 {
		return nil
	}
	order := slices.SortedFunc(slices.Values(b.heap), compare)
	items := make([]magnoliashore.Item, len(order))
	for i, r := range order {
		items[i] = r.item
	}
	return items
}
