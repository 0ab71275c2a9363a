package target

import (
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

func TestPermitForOpenConnections(t *testing.T) {
	t.Parallel()
	r := newRig(t, serve(t, answer), 2)
	for _, test := range []struct {
		name   string
		permit magnoliashore.Permit
		want   magnoliashore.Outcome
	}{
		{"no open connection", magnoliashore.Permit{OpenConnOnly: true}, magnoliashore.OutcomeNotRun},
		{"after the lease", magnoliashore.Permit{OpenConnOnly: true, LeaseEnd: time.Now()}, magnoliashore.OutcomeNotRun},
		{"during the lease", magnoliashore.Permit{OpenConnOnly: true, LeaseEnd: time.Now().Add(time.Hour)}, magnoliashore.OutcomeRan},
		{"with an open connection", magnoliashore.Permit{OpenConnOnly: true}, magnoliashore.OutcomeRan},
	} {
		got, _ := r.pool.Send(t.Context(), sub(testTimeout), r.target, test.permit)
		if got.Outcome() != test.want {
			t.Errorf("%s: got %v (%s), want %v", test.name, got.Outcome(), got.Reason(), test.want)
		}
	}
}
