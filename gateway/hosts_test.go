package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/membership"
	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/timer"
)

func cutMember(peer string, zone magnoliashore.ZoneName) membership.Member {
	return membership.NewMember(membership.MemberSpec{Peer: peer, Caller: "c" + peer, Zone: zone, Cut: true})
}

// TestDirectoryLeavesOutHostsWithoutTargets guards against callers that are sent to hosts
// which cannot serve them, and against all callers at the last host that can.
func TestDirectoryLeavesOutHostsWithoutTargets(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name    string
		members []membership.Member
		want    []string // for callers in zone a
	}{
		{"none is cut off", []membership.Member{member("1", "a", 0), member("2", "a", 0), member("3", "b", 0)}, []string{"c1", "c2"}},
		{"one of the zone is", []membership.Member{cutMember("1", "a"), member("2", "a", 0), member("3", "b", 0)}, []string{"c2", "c3"}},
		{
			"one of the zone is, and enough others are not",
			[]membership.Member{cutMember("1", "a"), member("2", "a", 0), member("3", "a", 0), member("4", "b", 0)}, []string{"c2", "c3"},
		},
		{"most are", []membership.Member{cutMember("1", "a"), cutMember("2", "b"), member("3", "b", 0)}, []string{"c1", "c2", "c3"}},
		{"all are", []membership.Member{cutMember("1", "a"), cutMember("2", "a")}, []string{"c1", "c2"}},
	} {
		if got := callerAddresses(test.members, "a"); !slices.Equal(got, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

func newTestHosts(members ...membership.Member) *hosts {
	h := &hosts{
		self: members[0], timer: &timer.Service{}, log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		links: make(map[string]*relay.Link), lastSeen: make(map[string]time.Time),
		help: make(map[string]*helpRecord), confirmed: make(map[string]time.Time),
	}
	h.update(members)
	return h
}

// TestHostsThatDoNotAnswerGetNoWork guards against hosts that get batches and requests
// one after another and answer none, whatever the reason.
func TestHostsThatDoNotAnswerGetNoWork(t *testing.T) {
	t.Parallel()
	h := newTestHosts(member("127.0.0.1:1", "a", 0), member("127.0.0.1:2", "a", 0), member("127.0.0.1:3", "b", 0))
	want := func(what string, peers ...string) {
		t.Helper()
		got := h.Fellows()
		slices.Sort(got)
		if !slices.Equal(got, peers) {
			t.Errorf("%s: got %v, want %v", what, got, peers)
		}
	}
	want("at first", "127.0.0.1:2", "127.0.0.1:3")
	h.RecordHelp("127.0.0.1:2", false)
	want("after one failure", "127.0.0.1:2", "127.0.0.1:3")
	h.RecordHelp("127.0.0.1:2", false)
	want("after two failures", "127.0.0.1:3")
	time.Sleep(minHelpPause + 10*time.Millisecond)
	want("after the pause", "127.0.0.1:2", "127.0.0.1:3")
	h.RecordHelp("127.0.0.1:2", false)
	time.Sleep(minHelpPause + 10*time.Millisecond)
	want("after another failure and a pause of the former length", "127.0.0.1:3")
	h.RecordHelp("127.0.0.1:2", true)
	want("after an answer", "127.0.0.1:2", "127.0.0.1:3")
}

// TestFellowsReachTargets checks that whole requests go to hosts that are not cut off,
// and first to those that were found to reach targets.
func TestFellowsReachTargets(t *testing.T) {
	t.Parallel()
	h := newTestHosts(
		member("127.0.0.1:1", "a", 0), cutMember("127.0.0.1:2", "a"), member("127.0.0.1:3", "a", 0), member("127.0.0.1:4", "b", 0),
		member("127.0.0.1:5", "b", membership.Leaving), member("127.0.0.1:6", "b", membership.Suspect),
	)
	h.Confirm("127.0.0.1:4")
	for range 20 {
		if got, want := h.Fellows(), []string{"127.0.0.1:4", "127.0.0.1:3"}; !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
}

// TestChoiceOfFellowsIsBounded checks that a host of a large fleet looks at a part of it
// for one request, and at another part for the next one.
func TestChoiceOfFellowsIsBounded(t *testing.T) {
	t.Parallel()
	h := newTestHosts(member("127.0.0.1:1", "a", 0))
	h.members = slices.Repeat([]membership.Member{member("127.0.0.1:2", "a", 0), member("127.0.0.1:3", "b", 0)}, 1000)
	if got := len(h.Fellows()); got == 0 || got > maxSampledHosts {
		t.Errorf("got %d fellows of 2000 hosts, want 1 to %d", got, maxSampledHosts)
	}
}
