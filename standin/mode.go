package standin

import "github.com/cockroachdb/errors"

// Mode says how a Platform answers.
type Mode int

// The modes of a Platform.
const (
	// ModeUp answers with what is newest.
	ModeUp Mode = iota
	// ModeDown answers every call with 503 and cuts held watches.
	ModeDown
	// ModeStale answers with what was newest when the mode was set.
	ModeStale
	// ModeOld answers with the version before the newest, where there is one.
	ModeOld
)

// String returns the mode as commands write it.
func (m Mode) String() string {
	switch m {
	case ModeUp:
		return "up"
	case ModeDown:
		return "down"
	case ModeStale:
		return "stale"
	case ModeOld:
		return "old"
	default:
		return "unknown"
	}
}

// ParseMode returns the mode that String wrote as text.
func ParseMode(text string) (Mode, error) {
	for _, mode := range []Mode{ModeUp, ModeDown, ModeStale, ModeOld} {
		if mode.String() == text {
			return mode, nil
		}
	}
	return ModeUp, errors.Newf("mode %q does not exist, want up, down, stale or old", text)
}

// HostState says where a name stands in the list of hosts.
type HostState int

// The states of a host.
const (
	// HostLive puts the name into the list of live hosts.
	HostLive HostState = iota
	// HostLeaving puts the name into the list of leaving hosts.
	HostLeaving
	// HostGone takes the name out of both lists.
	HostGone
)

// String returns the state as commands write it.
func (s HostState) String() string {
	switch s {
	case HostLive:
		return "live"
	case HostLeaving:
		return "leaving"
	case HostGone:
		return "gone"
	default:
		return "unknown"
	}
}

// ParseHostState returns the state that String wrote as text.
func ParseHostState(text string) (HostState, error) {
	for _, state := range []HostState{HostLive, HostLeaving, HostGone} {
		if state.String() == text {
			return state, nil
		}
	}
	return HostGone, errors.Newf("host state %q does not exist, want live, leaving or gone", text)
}
