package lease

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
)

// evenFirstWeight is the weight of the first seat if the number of seats is
// even. It makes the total weight odd.
const evenFirstWeight = 2

// Roster lists the seats of a cell whose grants count. A seat is the place of
// one host in the cell; a new process of the host takes the seat over. During
// a roster change the roster also holds the former seats.
type Roster struct {
	seats  []magnoliashore.HostID
	former []magnoliashore.HostID
	hash   uint64

	oneVoteEach bool // disables evenFirstWeight; only tests set it
}

// NewRoster returns a roster. The order of seats matters: if their number is
// even, the first has weight 2. former is empty except during a roster change.
func NewRoster(seats, former []magnoliashore.HostID) Roster {
	r := Roster{seats: slices.Clone(seats), former: slices.Clone(former)}
	r.hash = r.computeHash()
	return r
}

func (r Roster) computeHash() uint64 {
	var b []byte
	for _, list := range [][]magnoliashore.HostID{r.seats, r.former} {
		b = binary.AppendUvarint(b, uint64(len(list)))
		for _, host := range list {
			b = binary.AppendUvarint(b, uint64(len(host)))
			b = append(b, host...)
		}
	}
	return xxhash.Sum64(b)
}

// Hash returns a hash of the current and former seats in their order.
func (r Roster) Hash() uint64 { return r.hash }

// Seats returns the current seats in order. The caller must not modify the
// slice.
func (r Roster) Seats() []magnoliashore.HostID { return r.seats }

// HasQuorum reports whether the seats for which voted returns true form a
// quorum: a weighted majority of the current seats and, during a roster
// change, also of the former seats.
func (r Roster) HasQuorum(voted func(magnoliashore.HostID) bool) bool {
	if !r.majority(r.seats, voted) {
		return false
	}
	return len(r.former) == 0 || r.majority(r.former, voted)
}

func (r Roster) majority(seats []magnoliashore.HostID, voted func(magnoliashore.HostID) bool) bool {
	votes, total := 0, 0
	for i, host := range seats {
		weight := r.weight(i, len(seats))
		total += weight
		if voted(host) {
			votes += weight
		}
	}
	return total > 0 && 2*votes >= total
}

func (r Roster) weight(i, seats int) int {
	if i == 0 && seats%2 == 0 && !r.oneVoteEach {
		return evenFirstWeight
	}
	return 1
}

// forEach calls visit once for every current and former seat.
func (r Roster) forEach(visit func(magnoliashore.HostID)) {
	for _, host := range r.seats {
		visit(host)
	}
	for _, host := range r.former {
		if !slices.Contains(r.seats, host) {
			visit(host)
		}
	}
}

// isOnlySeat reports whether host is the only seat.
func (r Roster) isOnlySeat(host magnoliashore.HostID) bool {
	others := 0
	r.forEach(func(seat magnoliashore.HostID) {
		if seat != host {
			others++
		}
	})
	return others == 0
}
