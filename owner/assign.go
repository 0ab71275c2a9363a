package owner

import (
	"cmp"
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// assignment matches targets with members. Every target proposes to the
// members in its order of preference; a member keeps the proposals that score
// best, up to the cap and at most one per partition. The result is a stable
// matching, so a change of one member moves few targets.
type assignment struct {
	members  []Member
	cap      int
	siblings map[magnoliashore.TargetID]map[magnoliashore.TargetID]bool
	kept     map[magnoliashore.HostID][]bid
	homeless []bid
}

// bid is a target's proposal to a member.
type bid struct {
	target magnoliashore.Target
	order  []Member // the target's preference
	next   int      // index in order of the member to propose to next
	score  score    // of the member proposed to last
}

func assign(layout magnoliashore.Layout, members []Member) map[magnoliashore.TargetID]Member {
	a := assignment{
		members:  members,
		cap:      capOf(len(layout.Targets()), len(members)),
		siblings: siblingsOf(layout),
		kept:     make(map[magnoliashore.HostID][]bid, len(members)),
	}
	targets := slices.Clone(layout.Targets())
	slices.SortFunc(targets, func(x, y magnoliashore.Target) int { return cmp.Compare(x.ID(), y.ID()) })
	for _, t := range targets {
		a.propose(bid{target: t, order: a.preference(t)})
	}
	for _, b := range a.homeless {
		a.house(b)
	}
	return a.result()
}

// capOf returns the greatest number of targets for one member.
func capOf(targets, members int) int {
	denominator := capDenominator * members
	return (capNumerator*targets + denominator - 1) / denominator
}

// siblingsOf returns, for each target, the other targets that serve a
// partition with it in any published snapshot.
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

// propose offers a target to the members of its preference, and goes on with
// each target that a member gives up for it.
func (a *assignment) propose(first bid) {
	open := []bid{first}
	for len(open) > 0 {
		b := open[len(open)-1]
		open = open[:len(open)-1]
		if b.next == len(b.order) {
			a.homeless = append(a.homeless, b)
			continue
		}
		member := b.order[b.next]
		b.score = scoreOf(b.target, member)
		b.next++
		open = append(open, a.keep(member.Host, b)...)
	}
}

// keep adds a bid to a member's and returns those that the member gives up.
func (a *assignment) keep(host magnoliashore.HostID, b bid) []bid {
	bids := append(a.kept[host], b)
	slices.SortFunc(bids, func(x, y bid) int {
		if c := y.score.compare(x.score); c != 0 {
			return c
		}
		return cmp.Compare(x.target.ID(), y.target.ID())
	})
	var kept, given []bid
	for _, candidate := range bids {
		if len(kept) == a.cap || a.clashes(kept, candidate.target.ID()) {
			given = append(given, candidate)
			continue
		}
		kept = append(kept, candidate)
	}
	a.kept[host] = kept
	return given
}

// clashes reports whether one of bids serves a partition with id.
func (a *assignment) clashes(bids []bid, id magnoliashore.TargetID) bool {
	return slices.ContainsFunc(bids, func(b bid) bool { return a.siblings[id][b.target.ID()] })
}

// house places a target that no member kept: on the first member by
// preference without a sibling, beyond the cap, or else on the member with
// the fewest targets.
func (a *assignment) house(b bid) {
	free := func(m Member) bool { return !a.clashes(a.kept[m.Host], b.target.ID()) }
	i := slices.IndexFunc(b.order, free)
	if i < 0 {
		i = a.least(b.order)
	}
	host := b.order[i].Host
	a.kept[host] = append(a.kept[host], b)
}

func (a *assignment) least(order []Member) int {
	best := 0
	for i, m := range order {
		if len(a.kept[m.Host]) < len(a.kept[order[best].Host]) {
			best = i
		}
	}
	return best
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
