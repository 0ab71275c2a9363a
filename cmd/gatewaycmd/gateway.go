// Package gatewaycmd provides the command that runs a host on the users'
// platform. It is apart from the other commands so that the program that the
// platform starts links little: it is ready for signals sooner and its start
// costs less.
package gatewaycmd

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/gateway"
	"github.com/magnoliashore/magnoliashore/logs"
	"github.com/magnoliashore/magnoliashore/platform"
	"github.com/magnoliashore/magnoliashore/timer"
)

type gatewayCmd struct {
	cmd  *cobra.Command
	opts gatewayOptions
}

type gatewayOptions struct {
	settings string
	level    string
	peer     string
}

// New returns the command.
func New() *cobra.Command {
	c := &gatewayCmd{}
	c.cmd = &cobra.Command{
		Use:   "gateway",
		Short: "Runs one host on the users' platform until SIGTERM, then stops it gracefully",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return c.run(cmd.Context())
		},
	}
	c.cmd.Flags().StringVar(&c.opts.settings, "settings", os.Getenv(platform.SettingsVariable),
		"settings file of the platform")
	c.cmd.Flags().StringVar(&c.opts.level, "log", "info", "least level of the log lines")
	c.cmd.Flags().StringVar(&c.opts.peer, "peer-listen", "",
		"ip:port to listen at for other hosts, if what they reach passes it on; default: the settings' address")
	return c.cmd
}

func (c *gatewayCmd) run(ctx context.Context) error {
	s, err := LoadSettings(c.opts.settings)
	if err != nil {
		return err
	}
	if c.opts.peer != "" {
		if _, err := netip.ParseAddrPort(c.opts.peer); err != nil {
			return errors.Wrapf(err, "reading the address of --peer-listen %q", c.opts.peer)
		}
	}
	level, err := log.ParseLevel(c.opts.level)
	if err != nil {
		return errors.Wrapf(err, "reading the log level %q", c.opts.level)
	}
	clock := &timer.Service{}
	handler := logs.New(os.Stdout, clock)
	writing, stop := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		handler.Run(writing)
	}()
	defer func() {
		stop()
		<-written
	}()
	host := &gateway.Host{
		Settings:  s,
		Dialect:   platform.Dialect{},
		Source:    platform.NewStore(s.Store),
		Decoder:   platform.Decoder{},
		Timer:     clock,
		Log:       (&log.Logger{Handler: handler, Level: level}).WithField("host", string(s.Host)),
		Metrics:   gateway.NewMetrics(),
		Directory: platform.Directory,
		Ready:     platform.Ready,

		PeerListen: c.opts.peer,
	}
	handler.Dropped = host.Metrics.LogDropped
	host.Signals = Reloads()
	host.Load = func() (gateway.Settings, error) { return LoadSettings(c.opts.settings) }
	return host.Run(ctx)
}

// LoadSettings reads and checks the platform's settings file.
func LoadSettings(path string) (gateway.Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return gateway.Settings{}, magnoliashore.Step(err, "read settings", path)
	}
	s, err := platform.DecodeSettings(data)
	return s, magnoliashore.Step(err, "read settings", path)
}

// Reloads returns the signals that ask for the settings to be read again. The
// first call keeps them from ending the process, so it is to come early.
var Reloads = sync.OnceValue(func() <-chan os.Signal {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return reloads
})
