package peer

import "slices"

// deltaState is the state of the delta encoding in one direction of a connection.
// A heartbeat and its reply leave out fields that equal those of the one before.
// This is safe because the frames of a connection arrive in order or not at all.
type deltaState struct {
	delay     DelayEstimator // used by the receiver only
	heartbeat baseline
	reply     baseline
}

// baseline holds the fields of the last heartbeat, or of the last reply, that
// seldom change.
type baseline struct {
	versions []wireKeyVersion
	hosts    uint64
	view     []wireHostIncarnation
	keys     []uint32
}

// omit clears the fields that equal the baseline, returns their bits, and makes
// the fields the new baseline.
func (b *baseline) omit(info *wireInfo, view *[]wireHostIncarnation, keys *[]uint32) int {
	same := 0
	if slices.Equal(b.versions, info.Versions) && b.hosts == info.HostsHash {
		same |= sameConfig
	}
	if slices.Equal(b.view, *view) {
		same |= sameView
	}
	if slices.Equal(b.keys, *keys) {
		same |= sameKeys
	}
	*b = baseline{versions: info.Versions, hosts: info.HostsHash, view: *view, keys: *keys}
	if same&sameConfig != 0 {
		info.Versions = nil
		info.HostsHash = 0
	}
	if same&sameView != 0 {
		*view = nil
	}
	if same&sameKeys != 0 {
		*keys = nil
	}
	return same
}

// restore sets the fields that omit cleared at the sender, and makes the fields
// the new baseline.
func (b *baseline) restore(same int, info *wireInfo, view *[]wireHostIncarnation, keys *[]uint32) {
	if same&sameConfig != 0 {
		info.Versions = b.versions
		info.HostsHash = b.hosts
	}
	if same&sameView != 0 {
		*view = b.view
	}
	if same&sameKeys != 0 {
		*keys = b.keys
	}
	*b = baseline{versions: info.Versions, hosts: info.HostsHash, view: *view, keys: *keys}
}
