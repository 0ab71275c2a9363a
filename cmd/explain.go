package cmd

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/explain"
)

type explainCmd struct {
	cmd *cobra.Command
}

func newExplainCmd() *explainCmd {
	c := &explainCmd{}
	c.cmd = &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Shows the log lines of several hosts that concern one request",
		Long: "Shows the log lines of one request from several hosts, and the latest earlier\n" +
			"lines of those hosts about its targets, other hosts and the store. Reads the\n" +
			"standard input if no log is named.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.run(cmd, args[0], args[1:])
		},
	}
	return c
}

func (c *explainCmd) run(cmd *cobra.Command, id string, paths []string) error {
	lines, err := readLogs(cmd.InOrStdin(), paths)
	if err != nil {
		return err
	}
	found := explain.Request(lines, id)
	if len(found) == 0 {
		return errors.Newf("none of the %d log lines mentions the request %q", len(lines), id)
	}
	for _, l := range found {
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s %s %s\n", l.At().Format("15:04:05.000"), l.Host(), l.Text())
		if err != nil {
			return errors.Wrap(err, "writing the lines")
		}
	}
	return nil
}

func readLogs(input io.Reader, paths []string) ([]explain.Line, error) {
	if len(paths) == 0 {
		return explain.Read(input)
	}
	var all []explain.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, magnoliashore.Step(err, "open log", path)
	}
	defer func() { _ = file.Close() }()
	lines, err := explain.Read(file)
	return lines, magnoliashore.Step(err, "read log", path)
}
