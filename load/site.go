package load

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/operator"
	"github.com/magnoliashore/magnoliashore/standin"
)

// site is the system under load: entry hosts, targets and a platform, in this
// process or in others.
type site interface {
	// start starts the parts that run in this process and waits until the site
	// is ready.
	start(ctx context.Context) error
	// stop stops everything that start started.
	stop() error
	// client returns the client that sends the queries.
	client() queryClient
	// layout returns the layout at the start of the run.
	layout(ctx context.Context) (magnoliashore.Layout, error)
	// operatorTable returns the operators' table at the start of the run, as CSV.
	operatorTable(ctx context.Context) ([]byte, error)
	// publish publishes the value of a key on the platform.
	publish(ctx context.Context, key string, data []byte) error
	// setPlatformMode sets how the platform responds to reads.
	setPlatformMode(ctx context.Context, mode standin.Mode) error
	// changeTarget chills or restarts a target, or sets the snapshots that it
	// serves.
	changeTarget(ctx context.Context, target string, change action, snapshots []uint64) error
	// stopHost begins the graceful stop of an entry host.
	stopHost(host string) error
	// ledger returns the ledger entries of all targets.
	ledger(ctx context.Context) ([]record, error)
	// events returns the events that the entry hosts have stored.
	events(ctx context.Context) ([]magnoliashore.Event, error)
}

// scheduledQuery is one query to send.
type scheduledQuery struct {
	id       magnoliashore.QueryID
	group    group
	deadline time.Duration // remaining when the query is sent
	arrival  arrival
}

type queryClient interface {
	// query sends one query and returns its answer. A query without an answer
	// has the outcome unknown or notrun.
	query(ctx context.Context, q scheduledQuery) magnoliashore.Answer
}

// record is the ledger entry of a target for one request.
type record struct {
	query              magnoliashore.QueryID
	partition          magnoliashore.PartitionID
	target             string
	start, end         time.Time
	started            bool // the request got a slot and ran
	cold, coldReported bool // the target was cold; an earlier reply or cut connection had shown it
	atMostOnce         bool
	running            int // requests that ran at the start, this one included
	result             standin.Result
	reason             string
}

// shapeServices returns the services in the table of a shape.
func shapeServices(shape standin.Shape) []magnoliashore.Service {
	table, err := operator.DecodeTable(1, shape.Table())
	if err != nil {
		return nil
	}
	return table.Services()
}
