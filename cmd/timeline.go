package cmd

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/operator"
)

type timelineCmd struct {
	cmd  *cobra.Command
	opts timelineOptions
}

type timelineOptions struct {
	from   []string
	query  string
	target string
	kind   string
	output outputOption
}

func newTimelineCmd() *timelineCmd {
	c := &timelineCmd{}
	c.cmd = &cobra.Command{
		Use:   "timeline",
		Short: "Shows the events of several entry hosts as one time line",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd)
		},
	}
	flags := c.cmd.Flags()
	flags.StringSliceVar(&c.opts.from, "from", nil, "admin addresses of the entry hosts, ip:port, joined by commas")
	flags.StringVar(&c.opts.query, "query", "", "only events of this query")
	flags.StringVar(&c.opts.target, "target", "", "only events of this target")
	flags.StringVar(&c.opts.kind, "kind", "", "only events of this name, such as lease-held")
	c.opts.output.add(c.cmd)
	return c
}

func (c *timelineCmd) run(cmd *cobra.Command) error {
	asJSON, err := c.opts.output.json()
	if err != nil {
		return err
	}
	if len(c.opts.from) == 0 {
		return errors.New("from: needed is at least one address")
	}
	events, err := collectEvents(cmd.Context(), c.opts.from, cmd.PrintErrf)
	if err != nil {
		return err
	}
	filter := operator.Filter{
		Query:  magnoliashore.QueryID(c.opts.query),
		Target: magnoliashore.TargetID(c.opts.target),
		Kind:   c.opts.kind,
	}
	events = filter.Select(events)
	if asJSON {
		return operator.EncodeEvents(cmd.OutOrStdout(), events)
	}
	return operator.RenderEvents(cmd.OutOrStdout(), events)
}

// collectEvents merges the events of all hosts and names those that cannot be
// reached by warn. It fails if none can.
func collectEvents(ctx context.Context, addresses []string, warn func(format string, args ...any)) ([]magnoliashore.Event, error) {
	results := fetchAll(ctx, addresses)
	lists := make([][]magnoliashore.Event, 0, len(results))
	var faults []error
	for _, r := range results {
		if r.err != nil {
			faults = append(faults, r.err)
			warn("not part of the time line: %v\n", r.err)
			continue
		}
		lists = append(lists, r.events)
	}
	if len(lists) == 0 {
		return nil, errors.Newf("no entry host of %d could be read", len(faults))
	}
	return operator.MergeEvents(lists...), nil
}

type fetched struct {
	events []magnoliashore.Event
	err    error
}

// fetchAll asks all hosts at once and returns the results in their order.
func fetchAll(ctx context.Context, addresses []string) []fetched {
	results := make([]fetched, len(addresses))
	done := make(chan struct{}, len(addresses))
	for i, address := range addresses {
		go func() {
			events, err := operator.FetchEvents(ctx, address)
			results[i] = fetched{events: events, err: err}
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
	return results
}
