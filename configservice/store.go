package configservice

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// OfferResult says how a Store treated an offered value.
type OfferResult int

// The results of Store.Offer.
const (
	// Applied means that the value is now in force.
	Applied OfferResult = iota
	// Old means that a higher version is in force.
	Old
	// Invalid means that the value was rejected; the previous one stays in force.
	Invalid
	// Same means that the value was already in force.
	Same
)

// String returns the result in one word.
func (r OfferResult) String() string {
	switch r {
	case Applied:
		return "applied"
	case Old:
		return "old"
	case Invalid:
		return "invalid"
	case Same:
		return "same"
	default:
		return "unknown"
	}
}

// Store keeps the configuration in force: for each key, the highest valid version
// that was offered. It does no I/O and is not safe for concurrent use.
type Store struct {
	check  func(magnoliashore.Value) error
	states map[string]*keyState
}

// keyState is the state of one key.
type keyState struct {
	current        magnoliashore.Value // value in force; version 0 means none
	highestInvalid magnoliashore.Value // invalid value with the highest version
}

// NewStore returns an empty store. check validates a value; its result must
// depend only on the key and bytes. A nil check accepts every value.
func NewStore(check func(magnoliashore.Value) error) *Store {
	return &Store{check: check, states: make(map[string]*keyState)}
}

// Offer puts v in force if it is valid and newer than the value in force. The
// error says why a value is Invalid. It is ErrConflict if v has the version of a
// stored value but different bytes.
func (s *Store) Offer(v magnoliashore.Value) (OfferResult, error) {
	st := s.stateOf(v.Key())
	if v.Version() == 0 {
		return Invalid, errors.Newf("key %q: the version is 0", v.Key())
	}
	if err := st.checkConflict(v); err != nil {
		return Invalid, err
	}
	if v.Version() < st.current.Version() {
		return Old, nil
	}
	if v.Version() == st.current.Version() {
		return Same, nil
	}
	if err := s.runCheck(v); err != nil {
		st.recordInvalid(v)
		return Invalid, errors.Wrapf(err, "key %q version %d", v.Key(), v.Version())
	}
	st.current = v
	return Applied, nil
}

// Get returns the value in force.
func (s *Store) Get(key string) (magnoliashore.Value, bool) {
	st, ok := s.states[key]
	if !ok || st.current.Version() == 0 {
		return magnoliashore.Value{}, false
	}
	return st.current, true
}

// Version returns the version in force, or zero if there is none.
func (s *Store) Version(key string) magnoliashore.Version {
	st, ok := s.states[key]
	if !ok {
		return 0
	}
	return st.current.Version()
}

// HighestOffered returns the highest version that was offered, valid or not.
// Values up to this version need not be fetched.
func (s *Store) HighestOffered(key string) magnoliashore.Version {
	st, ok := s.states[key]
	if !ok {
		return 0
	}
	return max(st.current.Version(), st.highestInvalid.Version())
}

func (s *Store) stateOf(key string) *keyState {
	st, ok := s.states[key]
	if !ok {
		st = &keyState{}
		s.states[key] = st
	}
	return st
}

// runCheck runs the check and turns a panic into an error, so that one value
// cannot crash every host that receives it.
func (s *Store) runCheck(v magnoliashore.Value) (err error) {
	if s.check == nil {
		return nil
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("the check panicked: %v", cause)
		}
	}()
	return s.check(v)
}

// checkConflict returns ErrConflict if v has the version of a stored value but
// different bytes.
func (st *keyState) checkConflict(v magnoliashore.Value) error {
	for _, stored := range []magnoliashore.Value{st.current, st.highestInvalid} {
		if stored.Version() != v.Version() {
			continue
		}
		if !bytes.Equal(stored.Data(), v.Data()) {
			return errors.Wrapf(ErrConflict, "key %q version %d", v.Key(), v.Version())
		}
	}
	return nil
}

// recordInvalid stores v if its version is the highest invalid one.
func (st *keyState) recordInvalid(v magnoliashore.Value) {
	if v.Version() > st.highestInvalid.Version() {
		st.highestInvalid = v
	}
}
