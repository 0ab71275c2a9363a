package standin

import "github.com/cockroachdb/errors"

// Mode selects which version of a value a Platform serves, if any.
type Mode int

// The modes of a Platform.
const (
	// ModeUp serves the newest version.
	ModeUp Mode = iota
	// ModeDown answers every call with 503 and closes waiting watches.
	ModeDown
	// ModeStale serves the version that was newest when the mode was set.
	ModeStale
	// ModeOld serves the version before the newest one, if the key has two.
	ModeOld
)

// String returns the name of the mode in commands and paths.
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

// ParseMode is the inverse of Mode.String.
func ParseMode(text string) (Mode, error) {
	for _, mode := range []Mode{ModeUp, ModeDown, ModeStale, ModeOld} {
		if mode.String() == text {
			return mode, nil
		}
	}
	return ModeUp, errors.Newf("mode %q does not exist, want up, down, stale or old", text)
}

// HostState is the state of a name in the host list.
type HostState int

// The states of a name.
const (
	// HostLive is a name in the live list.
	HostLive HostState = iota
	// HostLeaving is a name in the leaving list.
	HostLeaving
	// HostGone is a name in neither list.
	HostGone
)

// String returns the name of the state in commands and paths.
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

// ParseHostState is the inverse of HostState.String.
func ParseHostState(text string) (HostState, error) {
	for _, state := range []HostState{HostLive, HostLeaving, HostGone} {
		if state.String() == text {
			return state, nil
		}
	}
	return HostGone, errors.Newf("host state %q does not exist, want live, leaving or gone", text)
}
