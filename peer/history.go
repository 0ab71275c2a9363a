package peer

import "slices"

// history is what one direction of a connection has carried. Parts of a
// heartbeat that are as in the one before it are left out, which is safe
// because the frames of a connection arrive in order or not at all.
type history struct {
	age       Age
	heartbeat parts
	beat      parts
}

// parts are the parts of a heartbeat, or of a reply to one, that seldom change.
type parts struct {
	held  []wireHeld
	hosts uint64
	view  []wireSeen
	keys  []uint32
}

// omit empties the fields that equal what the connection carried before, and
// returns the bits that say so. It remembers the others.
func (p *parts) omit(info *wireInfo, view *[]wireSeen, keys *[]uint32) int {
	same := 0
	if slices.Equal(p.held, info.Held) && p.hosts == info.HostsHash {
		same |= sameConfig
	}
	if slices.Equal(p.view, *view) {
		same |= sameView
	}
	if slices.Equal(p.keys, *keys) {
		same |= sameKeys
	}
	*p = parts{held: info.Held, hosts: info.HostsHash, view: *view, keys: *keys}
	if same&sameConfig != 0 {
		info.Held = nil
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

// restore fills in what omit emptied at the other end.
func (p *parts) restore(same int, info *wireInfo, view *[]wireSeen, keys *[]uint32) {
	if same&sameConfig != 0 {
		info.Held = p.held
		info.HostsHash = p.hosts
	}
	if same&sameView != 0 {
		*view = p.view
	}
	if same&sameKeys != 0 {
		*keys = p.keys
	}
	*p = parts{held: info.Held, hosts: info.HostsHash, view: *view, keys: *keys}
}
