package cmd

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
)

type queryCmd struct {
	cmd  *cobra.Command
	opts queryOptions
}

type queryOptions struct {
	entries    []string
	zone       string
	group      string
	services   []string
	deadline   time.Duration
	atMostOnce bool
	topK       int
	body       string
	output     outputOption
}

func newQueryCmd() *queryCmd {
	c := &queryCmd{}
	c.cmd = &cobra.Command{
		Use:   "query",
		Short: "Sends one query and shows its answer and coverage",
		Long:  "Sends one query and shows its answer and coverage. The exit code is 0 only if the query ran.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd)
		},
	}
	c.addFlags()
	return c
}

func (c *queryCmd) addFlags() {
	flags := c.cmd.Flags()
	flags.StringSliceVar(&c.opts.entries, "entry", nil, "addresses of entry hosts to contact first, ip:port, comma-separated")
	flags.StringVar(&c.opts.zone, "zone", "", "availability zone of the caller")
	flags.StringVar(&c.opts.group, "group", "", "group to query")
	flags.StringSliceVar(&c.opts.services, "service", nil, "services of the group to query, comma-separated; empty means all")
	flags.DurationVar(&c.opts.deadline, "deadline", 0, "time limit for the answer, such as 80ms; 0 means the deadline of the service")
	flags.BoolVar(&c.opts.atMostOnce, "once", false, "run the query at most once, with a ticket")
	flags.IntVar(&c.opts.topK, "best", 0, "number of items with the highest scores to keep; 0 keeps every partial result")
	flags.StringVar(&c.opts.body, "body", "", "request body for each target")
	c.opts.output.add(c.cmd)
}

func (c *queryCmd) run(cmd *cobra.Command) error {
	asJSON, err := c.opts.output.json()
	if err != nil {
		return err
	}
	if err := c.opts.check(); err != nil {
		return err
	}
	queryClient := &client.Client{Seeds: c.opts.entries, Zone: magnoliashore.ZoneName(c.opts.zone)}
	answer, queryErr := queryClient.Query(cmd.Context(), c.opts.request())
	if err := writeAnswer(cmd.OutOrStdout(), answer, asJSON); err != nil {
		return err
	}
	return outcomeError(answer, queryErr)
}

func (o queryOptions) check() error {
	if len(o.entries) == 0 {
		return errors.New("entry: at least one address is required")
	}
	if o.group == "" {
		return errors.New("group: a group name is required")
	}
	if o.topK < 0 {
		return errors.Newf("best: must be 0 or more, got %d", o.topK)
	}
	if o.deadline < 0 {
		return errors.Newf("deadline: must be 0 or more, got %v", o.deadline)
	}
	return nil
}

func (o queryOptions) request() client.Request {
	services := make([]magnoliashore.ServiceName, 0, len(o.services))
	for _, name := range o.services {
		services = append(services, magnoliashore.ServiceName(name))
	}
	return client.Request{
		Group:      magnoliashore.GroupName(o.group),
		Services:   services,
		Body:       []byte(o.body),
		Deadline:   o.deadline,
		AtMostOnce: o.atMostOnce,
		Merge:      magnoliashore.MergeBest(o.topK),
	}
}

// outcomeError returns an error with the outcome and its cause unless the query
// ran.
func outcomeError(answer magnoliashore.Answer, cause error) error {
	if answer.Outcome() == magnoliashore.OutcomeRan {
		return nil
	}
	outcome := errors.Newf("query ended with outcome %s", answer.Outcome())
	if cause == nil {
		return outcome
	}
	return errors.Wrap(cause, outcome.Error())
}
