package owner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
)

// Member is a live entry host.
type Member struct {
	Host magnoliashore.HostID
	Zone magnoliashore.ZoneName
}

// score rates a member for a target. A member in the target's availability
// zone scores higher than one in another zone; otherwise the rendezvous hash
// decides.
type score struct {
	sameZone bool
	hash     uint64
	host     magnoliashore.HostID // breaks ties
}

func scoreOf(target magnoliashore.Target, member Member) score {
	return score{
		sameZone: member.Zone == target.Zone(),
		hash:     rendezvous(target.ID(), member.Host),
		host:     member.Host,
	}
}

// rendezvous returns the rendezvous hash of a target and a host.
func rendezvous(id magnoliashore.TargetID, host magnoliashore.HostID) uint64 {
	b := make([]byte, 0, len(id)+len(host)+binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, uint64(len(id)))
	b = append(b, id...)
	b = append(b, host...)
	return xxhash.Sum64(b)
}

// compare returns a positive number if s is higher than other.
func (s score) compare(other score) int {
	if s.sameZone != other.sameZone {
		if s.sameZone {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(s.hash, other.hash); c != 0 {
		return c
	}
	return cmp.Compare(s.host, other.host)
}

// unique returns the members sorted by host, each host once.
func unique(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return slices.CompactFunc(sorted, func(a, b Member) bool { return a.Host == b.Host })
}

// ranked returns the members sorted by their rendezvous hash with id, the
// highest first.
func ranked(id magnoliashore.TargetID, members []Member) []Member {
	out := slices.Clone(members)
	slices.SortFunc(out, func(a, b Member) int {
		if c := cmp.Compare(rendezvous(id, b.Host), rendezvous(id, a.Host)); c != 0 {
			return c
		}
		return cmp.Compare(a.Host, b.Host)
	})
	return out
}
