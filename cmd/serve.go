package cmd

import (
	"context"
	"net/http"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/entry"
	"github.com/magnoliashore/magnoliashore/settings"
	"github.com/magnoliashore/magnoliashore/timer"
)

type serveCmd struct {
	cmd  *cobra.Command
	opts serveOptions
}

type serveOptions struct {
	settings string
}

func newServeCmd() *serveCmd {
	c := &serveCmd{}
	c.cmd = &cobra.Command{
		Use:   "serve",
		Short: "Runs one entry host until SIGTERM, then stops it gracefully",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd.Context())
		},
	}
	c.cmd.Flags().StringVar(&c.opts.settings, "settings", "magnoliashore.yaml", "settings file of the entry host")
	return c
}

func (c *serveCmd) run(ctx context.Context) error {
	s, err := loadSettings(c.opts.settings)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(s.Log)
	if err != nil {
		return errors.Wrapf(err, "parsing the log level %q", s.Log)
	}
	host := &entry.Host{
		Settings: s,
		Platform: &configservice.Client{Address: s.Platform, HTTP: &http.Client{}, Wait: s.Config.Watch},
		Timer:    &timer.Service{},
		Log:      (&log.Logger{Handler: logfmt.New(os.Stderr), Level: level}).WithField("host", string(s.Host)),
	}
	if err := host.Prepare(ctx); err != nil {
		return err
	}
	metrics.RegisterSet(host.Metrics())
	return host.Run(ctx)
}

// loadSettings reads and checks a settings file.
func loadSettings(path string) (settings.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, magnoliashore.Step(err, "read settings", path)
	}
	s, err := settings.Load(data)
	if err != nil {
		return settings.Settings{}, magnoliashore.Step(err, "read settings", path)
	}
	return s, magnoliashore.Step(s.Check(), "check settings", path)
}
