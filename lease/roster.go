package lease

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
)

// secondVote is the weight of the first seat where the number of seats is
// even, so that the total weight is odd.
const secondVote = 2

// Roster is the list of a cell's seats whose grants count. While a roster
// change is under way it also holds the former seats.
type Roster struct {
	seats  []magnoliashore.HostID
	former []magnoliashore.HostID
	hash   uint64

	oneVoteEach bool // guard turned off: the first of an even number has one vote
}

// NewRoster returns a roster. The order of seats matters: the first one has
// weight 2 where their number is even. former is empty unless a roster change
// is under way.
func NewRoster(seats, former []magnoliashore.HostID) Roster {
	r := Roster{seats: slices.Clone(seats), former: slices.Clone(former)}
	r.hash = r.sum()
	return r
}

func (r Roster) sum() uint64 {
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

// Hash returns a number that differs between different rosters.
func (r Roster) Hash() uint64 { return r.hash }

// Seats returns the present seats in order. The caller must not change the
// slice.
func (r Roster) Seats() []magnoliashore.HostID { return r.seats }

// Met reports whether the seats for which voted is true form a quorum: a
// weighted majority of the present seats and, while a roster change is under
// way, also of the former seats.
func (r Roster) Met(voted func(magnoliashore.HostID) bool) bool {
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
		return secondVote
	}
	return 1
}

// each calls visit for every present and former seat, once.
func (r Roster) each(visit func(magnoliashore.HostID)) {
	for _, host := range r.seats {
		visit(host)
	}
	for _, host := range r.former {
		if !slices.Contains(r.seats, host) {
			visit(host)
		}
	}
}

// alone reports whether host is the only seat.
func (r Roster) alone(host magnoliashore.HostID) bool {
	others := 0
	r.each(func(seat magnoliashore.HostID) {
		if seat != host {
			others++
		}
	})
	return others == 0
}
