package admit

// node is the entry of one job in an order.
type node struct {
	key         int64
	seq         uint64 // breaks ties between equal keys; unique in the order
	size        int    // number of nodes in the subtree
	left, right *node
	item        *item
}

// order is a set of nodes sorted by ascending key, stored as a treap whose
// priorities are a hash of seq. insert, remove and before take O(log n).
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

// insert adds n. The key and seq of n must be set.
func (o *order) insert(n *node) {
	n.left, n.right, n.size = nil, nil, 1
	below, above := split(o.root, n)
	o.root = join(join(below, n), above)
}

// remove removes n, which must be in the order.
func (o *order) remove(n *node) {
	o.root = removeFrom(o.root, n)
}

// before returns the number of nodes that are less than n. n need not be in the
// order.
func (o *order) before(n *node) int {
	count := 0
	for tree := o.root; tree != nil; {
		if tree.less(n) {
			count += tree.left.count() + 1
			tree = tree.right
			continue
		}
		tree = tree.left
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

// split divides a tree into the nodes less than pivot and the others.
func split(tree, pivot *node) (below, above *node) {
	if tree == nil {
		return nil, nil
	}
	if tree.less(pivot) {
		tree.right, above = split(tree.right, pivot)
		tree.recount()
		return tree, above
	}
	below, tree.left = split(tree.left, pivot)
	tree.recount()
	return below, tree
}

// join merges two trees. Every node of below must be less than every node of
// above.
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

// removeFrom removes n from a tree and returns the tree's new root.
func removeFrom(tree, n *node) *node {
	if tree == n {
		return join(n.left, n.right)
	}
	if tree.less(n) {
		tree.right = removeFrom(tree.right, n)
	} else {
		tree.left = removeFrom(tree.left, n)
	}
	tree.recount()
	return tree
}
