package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const keptVersions = 16 // newest versions of a key that are kept

type hostLists struct {
	live    []string
	leaving []string
	from    time.Time // when readers see it
}

// platformState is what a Platform has published.
type platformState struct {
	mu      sync.Mutex
	mode    Mode
	ended   bool
	values  map[string][]magnoliashore.Value // the newest last
	frozen  map[string]magnoliashore.Version // newest versions when Stale began
	hosts   []hostLists                      // the newest last
	since   time.Time                        // when Stale began
	changed chan struct{}                    // closed at the next change
}

func (s *platformState) init() {
	s.values = make(map[string][]magnoliashore.Value)
	s.changed = make(chan struct{})
}

func (s *platformState) publish(key string, data []byte) magnoliashore.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.values[key]
	version := magnoliashore.Version(1)
	if len(list) > 0 {
		version = list[len(list)-1].Version() + 1
	}
	list = append(list, magnoliashore.NewValue(key, version, slices.Clone(data)))
	if len(list) > keptVersions {
		list = list[len(list)-keptVersions:]
	}
	s.values[key] = list
	s.wake()
	return version
}

func (s *platformState) setHosts(live, leaving []string, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addHosts(slices.Clone(live), slices.Clone(leaving), from)
}

func (s *platformState) setHost(name string, state HostState, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last hostLists
	if len(s.hosts) > 0 {
		last = s.hosts[len(s.hosts)-1]
	}
	other := func(n string) bool { return n == name }
	live := slices.DeleteFunc(slices.Clone(last.live), other)
	leaving := slices.DeleteFunc(slices.Clone(last.leaving), other)
	switch state {
	case HostLive:
		live = append(live, name)
	case HostLeaving:
		leaving = append(leaving, name)
	case HostGone:
	}
	s.addHosts(live, leaving, from)
}

// addHosts adds a list and drops those that no reader can see any more.
func (s *platformState) addHosts(live, leaving []string, from time.Time) {
	now := time.Now()
	seen := s.visible(now)
	if s.mode != ModeStale && seen > 0 {
		s.hosts = slices.Clone(s.hosts[seen:])
	}
	s.hosts = append(s.hosts, hostLists{live: live, leaving: leaving, from: from})
}

// visible returns the index of the newest list that is visible at the given
// time, or -1.
func (s *platformState) visible(at time.Time) int {
	for i := len(s.hosts) - 1; i >= 0; i-- {
		if !s.hosts[i].from.After(at) {
			return i
		}
	}
	return -1
}

func (s *platformState) setMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mode == ModeStale && s.mode != ModeStale {
		s.since = time.Now()
		s.frozen = make(map[string]magnoliashore.Version, len(s.values))
		for key, list := range s.values {
			s.frozen[key] = list[len(list)-1].Version()
		}
	}
	s.mode = mode
	s.wake()
}

// end makes held watches return.
func (s *platformState) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.wake()
}

func (s *platformState) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// look is what a reader sees of one key.
type look struct {
	value   magnoliashore.Value
	ok      bool
	down    bool
	ended   bool
	changed <-chan struct{}
}

func (s *platformState) look(key string) look {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := look{down: s.mode == ModeDown, ended: s.ended, changed: s.changed}
	seen.value, seen.ok = s.pick(key)
	return seen
}

func (s *platformState) pick(key string) (magnoliashore.Value, bool) {
	list := s.values[key]
	if len(list) == 0 {
		return magnoliashore.Value{}, false
	}
	switch s.mode {
	case ModeOld:
		return list[max(0, len(list)-2)], true
	case ModeStale:
		return pickVersion(list, s.frozen[key])
	default:
		return list[len(list)-1], true
	}
}

// pickVersion returns the value with the version, or the oldest one kept if
// it has been dropped since.
func pickVersion(list []magnoliashore.Value, version magnoliashore.Version) (magnoliashore.Value, bool) {
	if version == 0 {
		return magnoliashore.Value{}, false
	}
	for _, v := range list {
		if v.Version() >= version {
			return v, true
		}
	}
	return magnoliashore.Value{}, false
}

// lookHosts returns the lists that readers see, and false if the platform is
// down.
func (s *platformState) lookHosts(now time.Time) (hostLists, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == ModeStale {
		now = s.since
	}
	i := s.visible(now)
	if i < 0 {
		return hostLists{}, s.mode != ModeDown
	}
	return s.hosts[i], s.mode != ModeDown
}
