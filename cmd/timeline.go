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
	addresses []string
	query     string
	target    string
	kind      string
	output    outputOption
}

func newTimelineCmd() *timelineCmd {
	c := &timelineCmd{}
	c.cmd = &cobra.Command{
		Use:   "timeline",
		Short: "Merges the events of several entry hosts into one timeline",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd)
		},
	}
	flags := c.cmd.Flags()
	flags.StringSliceVar(&c.opts.addresses, "from", nil, "admin addresses of the entry hosts, ip:port, comma-separated")
	flags.StringVar(&c.opts.query, "query", "", "only events of this query")
	flags.StringVar(&c.opts.target, "target", "", "only events of this target")
	flags.StringVar(&c.opts.kind, "kind", "", "only events of this kind, such as lease-held")
	c.opts.output.add(c.cmd)
	return c
}

func (c *timelineCmd) run(cmd *cobra.Command) error {
	asJSON, err := c.opts.output.json()
	if err != nil {
		return err
	}
	if len(c.opts.addresses) == 0 {
		return errors.New("from: at least one address is required")
	}
	events, err := collectEvents(cmd.Context(), c.opts.addresses, cmd.PrintErrf)
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

// collectEvents fetches and merges the events of all hosts. It calls warn for
// each host that cannot be read, and fails if no host can.
func collectEvents(ctx context.Context, addresses []string, warn func(format string, args ...any)) ([]magnoliashore.Event, error) {
	results := fetchAllEvents(ctx, addresses)
	lists := make([][]magnoliashore.Event, 0, len(results))
	var errs []error
	for _, r := range results {
		if r.err != nil {
			errs = append(errs, r.err)
			warn("missing from the timeline: %v\n", r.err)
			continue
		}
		lists = append(lists, r.events)
	}
	if len(lists) == 0 {
		return nil, errors.Newf("none of the %d entry hosts could be read", len(errs))
	}
	return operator.MergeEvents(lists...), nil
}

type fetchResult struct {
	events []magnoliashore.Event
	err    error
}

// fetchAllEvents fetches the events of all hosts concurrently and returns the
// results in the order of the addresses.
func fetchAllEvents(ctx context.Context, addresses []string) []fetchResult {
	results := make([]fetchResult, len(addresses))
	done := make(chan struct{}, len(addresses))
	for i, address := range addresses {
		go func() {
			events, err := operator.FetchEvents(ctx, address)
			results[i] = fetchResult{events: events, err: err}
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
	return results
}
