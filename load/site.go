package load

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/operator"
	"github.com/magnoliashore/magnoliashore/standin"
)

// site is the system under load: entry hosts and stand-ins, in this process
// or in others.
type site interface {
	// start starts what the site runs itself and waits until it is ready.
	start(ctx context.Context) error
	// stop ends what start started.
	stop() error
	// asker returns what sends queries.
	asker() asker
	// layout returns the layout in force at the start.
	layout(ctx context.Context) (magnoliashore.Layout, error)
	// table returns the operators' table in force at the start, as CSV.
	table(ctx context.Context) ([]byte, error)
	// publish publishes a value of the platform.
	publish(ctx context.Context, key string, data []byte) error
	// mode sets how the platform answers.
	mode(ctx context.Context, mode standin.Mode) error
	// act changes a target: chill, restart or the snapshots it serves.
	act(ctx context.Context, target string, do action, snapshots []uint64) error
	// leave tells an entry host to leave.
	leave(host string) error
	// ledger returns what the targets recorded.
	ledger(ctx context.Context) ([]record, error)
	// events returns the events that the entry hosts keep.
	events(ctx context.Context) ([]magnoliashore.Event, error)
}

// question is one query to send.
type question struct {
	id       magnoliashore.QueryID
	group    group
	deadline time.Duration // left when it is sent
	arrival  arrival
}

// asker sends queries.
type asker interface {
	// ask sends one query and returns its answer; no answer at all is one
	// with the outcome unknown or notrun.
	ask(ctx context.Context, q question) magnoliashore.Answer
}

// record is what a target recorded of one request.
type record struct {
	query      magnoliashore.QueryID
	partition  magnoliashore.PartitionID
	target     string
	start, end time.Time
	begun      bool
	cold, told bool
	once       bool
	running    int
	result     standin.Result
	reason     string
}

// rows returns the service rows of a shape's table.
func rows(shape standin.Shape) []magnoliashore.Service {
	table, err := operator.DecodeTable(1, shape.Table())
	if err != nil {
		return nil
	}
	return table.Services()
}
