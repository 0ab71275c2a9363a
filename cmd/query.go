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
	entries  []string
	zone     string
	group    string
	services []string
	deadline time.Duration
	once     bool
	best     int
	body     string
	output   outputOption
}

func newQueryCmd() *queryCmd {
	c := &queryCmd{}
	c.cmd = &cobra.Command{
		Use:   "query",
		Short: "Asks one query and shows its answer and coverage",
		Long:  "Asks one query and shows its answer and coverage. The exit code is 0 only if the query ran.",
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
	flags.StringSliceVar(&c.opts.entries, "entry", nil, "addresses of entry hosts, ip:port, to ask first")
	flags.StringVar(&c.opts.zone, "zone", "", "availability zone of the caller")
	flags.StringVar(&c.opts.group, "group", "", "group to ask")
	flags.StringSliceVar(&c.opts.services, "service", nil, "services of the group to ask; none means all")
	flags.DurationVar(&c.opts.deadline, "deadline", 0, "time for the answer, such as 80ms; 0 means the service's")
	flags.BoolVar(&c.opts.once, "once", false, "run the query at most once, with a ticket")
	flags.IntVar(&c.opts.best, "best", 0, "keep this many items with the highest score; 0 means every part")
	flags.StringVar(&c.opts.body, "body", "", "what each target gets")
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
	asker := &client.Client{Seeds: c.opts.entries, Zone: magnoliashore.ZoneName(c.opts.zone)}
	answer, askErr := asker.Query(cmd.Context(), c.opts.request())
	if err := writeAnswer(cmd.OutOrStdout(), answer, asJSON); err != nil {
		return err
	}
	return outcomeError(answer, askErr)
}

func (o queryOptions) check() error {
	if len(o.entries) == 0 {
		return errors.New("entry: needed is at least one address")
	}
	if o.group == "" {
		return errors.New("group: needed is the name of a group")
	}
	if o.best < 0 {
		return errors.Newf("best: %d is not allowed; allowed is 0 or more", o.best)
	}
	if o.deadline < 0 {
		return errors.Newf("deadline: %v is not allowed; allowed is 0 or more", o.deadline)
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
		AtMostOnce: o.once,
		Merge:      magnoliashore.MergeBest(o.best),
	}
}

// outcomeError returns an error unless the query ran.
func outcomeError(answer magnoliashore.Answer, cause error) error {
	if answer.Outcome() == magnoliashore.OutcomeRan {
		return nil
	}
	outcome := errors.Newf("the query has the outcome %s", answer.Outcome())
	if cause == nil {
		return outcome
	}
	return errors.Wrap(cause, outcome.Error())
}
