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
	// Applied says that the value is in force now.
	Applied OfferResult = iota
	// Old says that a higher version is in force.
	Old
	// Invalid says that the value was refused; the last one stays in force.
	Invalid
	// Same says that the value was in force already.
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

// Store keeps the configuration in force: the highest valid version of each
// key that was offered. It does no I/O and is not safe for concurrent use.
type Store struct {
	check  func(magnoliashore.Value) error
	states map[string]*state
}

// state is what a Store knows of one key.
type state struct {
	current magnoliashore.Value // version 0 means that none is in force
	refused magnoliashore.Value // the highest version that was invalid
}

// NewStore returns an empty store. check returns why a value is invalid; its
// result must depend on the key and bytes alone. A nil check accepts all.
func NewStore(check func(magnoliashore.Value) error) *Store {
	return &Store{check: check, states: make(map[string]*state)}
}

// Offer puts v in force if it is valid and its version is above the one in
// force. The error says why a value is Invalid; it is ErrConflict if a
// different value with the same version was offered before.
func (s *Store) Offer(v magnoliashore.Value) (OfferResult, error) {
	st := s.state(v.Key())
	if v.Version() == 0 {
		return Invalid, errors.Newf("key %q: the version is 0", v.Key())
	}
	if err := st.conflict(v); err != nil {
		return Invalid, err
	}
	if v.Version() < st.current.Version() {
		return Old, nil
	}
	if v.Version() == st.current.Version() {
		return Same, nil
	}
	if err := s.valid(v); err != nil {
		st.refuse(v)
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

// Version returns the version in force; zero means none.
func (s *Store) Version(key string) magnoliashore.Version {
	st, ok := s.states[key]
	if !ok {
		return 0
	}
	return st.current.Version()
}

// HighestOffered returns the highest version that was offered, valid or not. A value up
// to this version need not be fetched.
func (s *Store) HighestOffered(key string) magnoliashore.Version {
	st, ok := s.states[key]
	if !ok {
		return 0
	}
	return max(st.current.Version(), st.refused.Version())
}

func (s *Store) state(key string) *state {
	st, ok := s.states[key]
	if !ok {
		st = &state{}
		s.states[key] = st
	}
	return st
}

// valid runs the check; a panic in it counts as an error, so that one value
// cannot end the process of every host that receives it.
func (s *Store) valid(v magnoliashore.Value) (err error) {
	if s.check == nil {
		return nil
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("the check failed: %v", cause)
		}
	}()
	return s.check(v)
}

// conflict compares v with the known values of the same version.
func (st *state) conflict(v magnoliashore.Value) error {
	for _, known := range []magnoliashore.Value{st.current, st.refused} {
		if known.Version() != v.Version() {
			continue
		}
		if !bytes.Equal(known.Data(), v.Data()) {
			return errors.Wrapf(ErrConflict, "key %q version %d", v.Key(), v.Version())
		}
	}
	return nil
}

// refuse remembers the highest invalid version.
func (st *state) refuse(v magnoliashore.Value) {
	if v.Version() > st.refused.Version() {
		st.refused = v
	}
}
