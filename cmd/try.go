package cmd

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/try"
)

// tryBurst is the default length of the burst of queries.
const tryBurst = 4 * time.Second

type tryCmd struct {
	cmd    *cobra.Command
	output outputOption
	burst  time.Duration
	users  bool
}

func newTryCmd() *tryCmd {
	c := &tryCmd{}
	c.cmd = &cobra.Command{
		Use:   "try",
		Short: "run the main job on embedded stand-ins, and report",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	c.output.add(c.cmd)
	c.cmd.Flags().DurationVar(&c.burst, "burst", tryBurst, "length of the burst of queries")
	c.cmd.Flags().BoolVar(&c.users, "platform", false, "run hosts on stand-ins for the users' platform instead")
	return c
}

// platformQueries is how many queries a trial on the platform asks.
const platformQueries = 200

func (c *tryCmd) run(cmd *cobra.Command, _ []string) error {
	if c.users {
		return c.runPlatform(cmd)
	}
	asJSON, err := c.output.json()
	if err != nil {
		return err
	}
	job := &try.Run{Progress: cmd.ErrOrStderr(), Burst: c.burst}
	report, err := job.Run(cmd.Context())
	if err != nil {
		return err
	}
	if report.Answers() == 0 {
		return errors.New("no query was answered")
	}
	if asJSON {
		return report.WriteJSON(cmd.OutOrStdout())
	}
	return report.WriteText(cmd.OutOrStdout())
}

func (c *tryCmd) runPlatform(cmd *cobra.Command) error {
	job := &try.Platform{Progress: cmd.ErrOrStderr(), Queries: platformQueries}
	report, err := job.Run(cmd.Context())
	if err != nil {
		return err
	}
	if report.Wrong() > 0 {
		return errors.Newf("%d answers were not true", report.Wrong())
	}
	return report.WriteText(cmd.OutOrStdout())
}
