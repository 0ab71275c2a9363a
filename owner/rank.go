package owner

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliashore/magnoliashore"
)

// Member is one live entry host.
type Member struct {
	Host magnoliashore.HostID
	Zone magnoliashore.ZoneName
}

// score is how well a member suits a target. In the target's availability
// zone comes first, then the rendezvous hash; the higher one wins.
type score struct {
	near bool
	hash uint64
	host magnoliashore.HostID // breaks ties
}

func scoreOf(target magnoliashore.Target, member Member) score {
	return score{
		near: member.Zone == target.Zone(),
		hash: rendezvous(target.ID(), member.Host),
		host: member.Host,
	}
}

// rendezvous returns the hash of a target and a host.
func rendezvous(id magnoliashore.TargetID, host magnoliashore.HostID) uint64 {
	b := make([]byte, 0, len(id)+len(host)+binary.MaxVarintLen64)
	b = binary.AppendUvarint(b, uint64(len(id)))
	b = append(b, id...)
	b = append(b, host...)
	return xxhash.Sum64(b)
}

// compare returns a positive number if s is the better score.
func (s score) compare(other score) int {
	if s.near != other.near {
		if s.near {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(s.hash, other.hash); c != 0 {
		return c
	}
	return cmp.Compare(s.host, other.host)
}

// unique returns the members by host name, each host once.
func unique(members []Member) []Member {
	out := slices.Clone(members)
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return slices.CompactFunc(out, func(a, b Member) bool { return a.Host == b.Host })
}

// ranked returns the members by rendezvous hash of id, the best first.
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
