package target

import (
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

func TestPermitForStandingConnections(t *testing.T) {
	t.Parallel()
	r := newRig(t, serve(t, answer), 2)
	for _, test := range []struct {
		name   string
		permit magnoliashore.Permit
		want   magnoliashore.Outcome
	}{
		{"none stands", magnoliashore.Permit{Standing: true}, magnoliashore.OutcomeNotRun},
		{"under an ended lease", magnoliashore.Permit{Standing: true, Lease: time.Now()}, magnoliashore.OutcomeNotRun},
		{"under a lease", magnoliashore.Permit{Standing: true, Lease: time.Now().Add(time.Hour)}, magnoliashore.OutcomeRan},
		{"one stands", magnoliashore.Permit{Standing: true}, magnoliashore.OutcomeRan},
	} {
		got, _ := r.pool.Send(t.Context(), sub(soon), r.target, test.permit)
		if got.Outcome() != test.want {
			t.Errorf("%s: got %v (%s), want %v", test.name, got.Outcome(), got.Reason(), test.want)
		}
	}
}
