package suspect_test

import (
	"fmt"
	"testing"

	"github.com/magnoliashore/magnoliashore/suspect"
)

func TestRecentRequestsAreBounded(t *testing.T) {
	t.Parallel()
	const requests = 20000
	var recent suspect.Recent
	hot := digest("/hot")
	for i := range requests {
		recent.Add(at(0), digest(fmt.Sprint(i)))
		recent.Add(at(0), hot)
	}
	if !recent.Has(at(5), hot) {
		t.Error("got a request unknown that was completed 5 s ago, want it known")
	}
	if recent.Has(at(15), hot) {
		t.Error("got a request known that was completed 15 s ago, want it forgotten")
	}
	if recent.Has(at(1), digest("/other")) {
		t.Error("got a request known that was never completed, want it unknown")
	}
}
