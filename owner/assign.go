package owner

import (
	"cmp"
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// assignment matches targets with members. Every target proposes to the
// members in its order of preference. A member keeps the proposals with the
// highest scores, up to maxTargets and at most one per partition. The result
// is a stable matching, so a change of one member moves few targets.
type assignment struct {
	members    []Member
	maxTargets int
	siblings   map[magnoliashore.TargetID]map[magnoliashore.TargetID]bool
	kept       map[magnoliashore.HostID][]bid
	unassigned []bid // bids that no member kept
}

// bid is the proposal of a target to a member.
type bid struct {
	target magnoliashore.Target
	order  []Member // members in the target's order of preference
	next   int      // index in order of the next member to propose to
	score  score    // score of the last member proposed to
}

func assign(layout magnoliashore.Layout, members []Member) map[magnoliashore.TargetID]Member {
	a := assignment{
		members:    members,
		maxTargets: maxTargetsOf(len(layout.Targets()), len(members)),
		siblings:   siblingsOf(layout),
		kept:       make(map[magnoliashore.HostID][]bid, len(members)),
	}
	targets := slices.Clone(layout.Targets())
	slices.SortFunc(targets, func(x, y magnoliashore.Target) int { return cmp.Compare(x.ID(), y.ID()) })
	for _, t := range targets {
		a.propose(bid{target: t, order: a.preference(t)})
	}
	for _, b := range a.unassigned {
		a.assignAnyway(b)
	}
	return a.result()
}

// maxTargetsOf returns the largest number of targets for one member.
func maxTargetsOf(targets, members int) int {
	denominator := loadDenominator * members
	return (loadNumerator*targets + denominator - 1) / denominator
}

// siblingsOf returns, for each target, the other targets that serve the same
// partition in any published snapshot.
func siblingsOf(layout magnoliashore.Layout) map[magnoliashore.TargetID]map[magnoliashore.TargetID]bool {
	siblings := make(map[magnoliashore.TargetID]map[magnoliashore.TargetID]bool)
	for _, s := range layout.Snapshots() {
		for _, p := range s.Partitions() {
			for _, id := range p.Targets() {
				if siblings[id] == nil {
					siblings[id] = make(map[magnoliashore.TargetID]bool)
				}
				for _, other := range p.Targets() {
					siblings[id][other] = true
				}
			}
		}
	}
	for id, others := range siblings {
		delete(others, id)
	}
	return siblings
}

// preference returns the members in the target's order of preference.
func (a *assignment) preference(target magnoliashore.Target) []Member {
	order := slices.Clone(a.members)
	slices.SortFunc(order, func(x, y Member) int {
		return scoreOf(target, y).compare(scoreOf(target, x))
	})
	return order
}

// propose offers a target to the members in its order of preference until one
// keeps it, and then does the same for each target that a member rejects as a
// result.
func (a *assignment) propose(first bid) {
	pending := []bid{first}
	for len(pending) > 0 {
		b := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if b.next == len(b.order) {
			a.unassigned = append(a.unassigned, b)
			continue
		}
		member := b.order[b.next]
		b.score = scoreOf(b.target, member)
		b.next++
		pending = append(pending, a.consider(member.Host, b)...)
	}
}

// consider adds a bid to those of a member and returns the bids that the
// member rejects.
func (a *assignment) consider(host magnoliashore.HostID, b bid) []bid {
	bids := append(a.kept[host], b)
	slices.SortFunc(bids, func(x, y bid) int {
		if c := y.score.compare(x.score); c != 0 {
			return c
		}
		return cmp.Compare(x.target.ID(), y.target.ID())
	})
	var kept, rejected []bid
	for _, candidate := range bids {
		if len(kept) == a.maxTargets || a.clashes(kept, candidate.target.ID()) {
			rejected = append(rejected, candidate)
			continue
		}
		kept = append(kept, candidate)
	}
	a.kept[host] = kept
	return rejected
}

// clashes reports whether the target of one of the bids shares a partition
// with id.
func (a *assignment) clashes(bids []bid, id magnoliashore.TargetID) bool {
	return slices.ContainsFunc(bids, func(b bid) bool { return a.siblings[id][b.target.ID()] })
}

// assignAnyway assigns a target that no member kept. It ignores maxTargets and
// takes the first member by preference that owns no sibling, or else the
// member with the fewest targets.
func (a *assignment) assignAnyway(b bid) {
	noSibling := func(m Member) bool { return !a.clashes(a.kept[m.Host], b.target.ID()) }
	i := slices.IndexFunc(b.order, noSibling)
	if i < 0 {
		i = a.fewestTargets(b.order)
	}
	host := b.order[i].Host
	a.kept[host] = append(a.kept[host], b)
}

// fewestTargets returns the index in order of the member with the fewest
// targets.
func (a *assignment) fewestTargets(order []Member) int {
	fewest := 0
	for i, m := range order {
		if len(a.kept[m.Host]) < len(a.kept[order[fewest].Host]) {
			fewest = i
		}
	}
	return fewest
}

func (a *assignment) result() map[magnoliashore.TargetID]Member {
	owners := make(map[magnoliashore.TargetID]Member)
	for _, m := range a.members {
		for _, b := range a.kept[m.Host] {
			owners[b.target.ID()] = m
		}
	}
	return owners
}
