package admit

// node is one job's place in an order.
type node struct {
	key         int64
	seq         uint64 // breaks ties of key; unique in the order
	size        int    // nodes of the subtree
	left, right *node
	item        *item
}

// order is a sorted set of nodes, the lowest key first: a treap whose
// priorities are a hash of seq. Insert, remove and before take O(log n).
type order struct{ root *node }

// len returns the number of nodes.
func (o *order) len() int { return o.root.count() }

// first returns the node with the lowest key, or nil.
func (o *order) first() *node {
	n := o.root
	for n != nil && n.left != nil {
		n = n.left
	}
	return n
}

// insert adds n, whose key and seq are set.
func (o *order) insert(n *node) {
	n.left, n.right, n.size = nil, nil, 1
	below, above := split(o.root, n)
	o.root = join(join(below, n), above)
}

// remove takes out n, which is in the order.
func (o *order) remove(n *node) {
	o.root = without(o.root, n)
}

// before returns how many nodes come before n, which need not be in the order.
func (o *order) before(n *node) int {
	count := 0
	for at := o.root; at != nil; {
		if at.less(n) {
			count += at.left.count() + 1
			at = at.right
			continue
		}
		at = at.left
	}
	return count
}

func (n *node) count() int {
	if n == nil {
		return 0
	}
	return n.size
}

func (n *node) less(other *node) bool {
	if n.key != other.key {
		return n.key < other.key
	}
	return n.seq < other.seq
}

func (n *node) recount() { n.size = n.left.count() + n.right.count() + 1 }

// priority returns a hash of seq (the finalizer of SplitMix64).
func (n *node) priority() uint64 {
	x := n.seq + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// split parts the tree at into the nodes below pivot and the others.
func split(at, pivot *node) (below, above *node) {
	if at == nil {
		return nil, nil
	}
	if at.less(pivot) {
		at.right, above = split(at.right, pivot)
		at.recount()
		return at, above
	}
	below, at.left = split(at.left, pivot)
	at.recount()
	return below, at
}

// join returns one tree of two, where every node of below is less than every
// node of above.
func join(below, above *node) *node {
	if below == nil {
		return above
	}
	if above == nil {
		return below
	}
	if below.priority() > above.priority() {
		below.right = join(below.right, above)
		below.recount()
		return below
	}
	above.left = join(below, above.left)
	above.recount()
	return above
}

// without returns the tree at with n taken out.
func without(at, n *node) *node {
	if at == n {
		return join(n.left, n.right)
	}
	if at.less(n) {
		at.right = without(at.right, n)
	} else {
		at.left = without(at.left, n)
	}
	at.recount()
	return at
}
