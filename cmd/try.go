package cmd

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore/try"
)

// defaultBurst is the default of --burst.
const defaultBurst = 4 * time.Second

type tryCmd struct {
	cmd      *cobra.Command
	output   outputOption
	burst    time.Duration
	platform bool
}

func newTryCmd() *tryCmd {
	c := &tryCmd{}
	c.cmd = &cobra.Command{
		Use:   "try",
		Short: "Runs a trial of the query tier on embedded stand-ins and reports the result",
		Args:  cobra.NoArgs,
		RunE:  c.run,
	}
	c.output.add(c.cmd)
	c.cmd.Flags().DurationVar(&c.burst, "burst", defaultBurst, "duration of the burst of queries")
	c.cmd.Flags().BoolVar(&c.platform, "platform", false, "run hosts on stand-ins for the users' platform instead; ignores --burst and --output")
	return c
}

// platformQueries is the number of queries that try --platform sends.
const platformQueries = 200

func (c *tryCmd) run(cmd *cobra.Command, _ []string) error {
	if c.platform {
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
		return errors.Newf("%d answers were wrong", report.Wrong())
	}
	return report.WriteText(cmd.OutOrStdout())
}
