package standin

import (
	"slices"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const maxVersions = 16 // versions kept per key

type hostLists struct {
	live        []string
	leaving     []string
	visibleFrom time.Time // when readers get these lists
}

// platformState holds the published values and host lists of a Platform.
type platformState struct {
	mu            sync.Mutex
	mode          Mode
	closed        bool
	values        map[string][]magnoliashore.Value // versions by key, oldest first
	staleVersions map[string]magnoliashore.Version // newest version by key when ModeStale began
	hosts         []hostLists                      // oldest first
	staleSince    time.Time                        // when ModeStale began
	changed       chan struct{}                    // closed on the next change
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
	if len(list) > maxVersions {
		list = list[len(list)-maxVersions:]
	}
	s.values[key] = list
	s.notifyWatchers()
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
	isName := func(n string) bool { return n == name }
	live := slices.DeleteFunc(slices.Clone(last.live), isName)
	leaving := slices.DeleteFunc(slices.Clone(last.leaving), isName)
	switch state {
	case HostLive:
		live = append(live, name)
	case HostLeaving:
		leaving = append(leaving, name)
	case HostGone:
	}
	s.addHosts(live, leaving, from)
}

// addHosts appends the lists and drops those that no reader can get any more.
// ModeStale may still serve older lists, so nothing is dropped then.
func (s *platformState) addHosts(live, leaving []string, from time.Time) {
	now := time.Now()
	oldest := s.newestVisible(now)
	if s.mode != ModeStale && oldest > 0 {
		s.hosts = slices.Clone(s.hosts[oldest:])
	}
	s.hosts = append(s.hosts, hostLists{live: live, leaving: leaving, visibleFrom: from})
}

// newestVisible returns the index of the newest lists that are visible at the
// given time, or -1.
func (s *platformState) newestVisible(at time.Time) int {
	for i := len(s.hosts) - 1; i >= 0; i-- {
		if !s.hosts[i].visibleFrom.After(at) {
			return i
		}
	}
	return -1
}

func (s *platformState) setMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mode == ModeStale && s.mode != ModeStale {
		s.staleSince = time.Now()
		s.staleVersions = make(map[string]magnoliashore.Version, len(s.values))
		for key, list := range s.values {
			s.staleVersions[key] = list[len(list)-1].Version()
		}
	}
	s.mode = mode
	s.notifyWatchers()
}

// close ends the waiting watches.
func (s *platformState) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.notifyWatchers()
}

func (s *platformState) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// keyView is the state of one key for a reader.
type keyView struct {
	value   magnoliashore.Value
	found   bool
	down    bool
	closed  bool
	changed <-chan struct{}
}

func (s *platformState) viewKey(key string) keyView {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := keyView{down: s.mode == ModeDown, closed: s.closed, changed: s.changed}
	view.value, view.found = s.valueForMode(key)
	return view
}

func (s *platformState) valueForMode(key string) (magnoliashore.Value, bool) {
	list := s.values[key]
	if len(list) == 0 {
		return magnoliashore.Value{}, false
	}
	switch s.mode {
	case ModeOld:
		return list[max(0, len(list)-2)], true
	case ModeStale:
		return valueAtVersion(list, s.staleVersions[key])
	default:
		return list[len(list)-1], true
	}
}

// valueAtVersion returns the value with the given version, or the oldest kept
// value if that version has been dropped. Version 0 means no value.
func valueAtVersion(list []magnoliashore.Value, version magnoliashore.Version) (magnoliashore.Value, bool) {
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

// visibleHosts returns the lists that readers get, and false if the platform is
// down.
func (s *platformState) visibleHosts(now time.Time) (hostLists, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == ModeStale {
		now = s.staleSince
	}
	i := s.newestVisible(now)
	if i < 0 {
		return hostLists{}, s.mode != ModeDown
	}
	return s.hosts[i], s.mode != ModeDown
}
