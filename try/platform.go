package try

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/platform/standin"
)

// Platform runs hosts on stand-ins for the users' platform and sends queries
// over all shards. Halfway through, one target stops responding. Every answer
// is compared with the data of the targets.
type Platform struct {
	Progress io.Writer // receives a line for each step
	Queries  int       // number of queries to send
}

// PlatformReport counts the queries by the kind of answer.
type PlatformReport struct {
	sent, complete, partial, refused, failed, wrong int
}

// Wrong returns how many answers differ from the data of the targets.
func (r PlatformReport) Wrong() int { return r.wrong }

// WriteText writes the report as a table.
func (r PlatformReport) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "asked %d\nwhole %d\npartial %d\nrefused %d\nfailed %d\nwrong %d\n",
		r.sent, r.complete, r.partial, r.refused, r.failed, r.wrong)
	return errors.Wrap(err, "write the report")
}

const (
	platformStartTimeout = 10 * time.Second      // for all hosts to become ready
	platformPause        = 20 * time.Millisecond // between two queries
)

// Run starts the hosts, sends the queries and returns the counts.
func (p *Platform) Run(ctx context.Context) (PlatformReport, error) {
	p.logProgress("starting a store, targets and three hosts")
	site, err := standin.NewSite(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	if err != nil {
		return PlatformReport{}, err
	}
	defer site.Close()
	for i, zone := range []magnoliashore.ZoneName{"a", "b", "c"} {
		site.StartHost(fmt.Sprintf("h%d", i), zone)
	}
	if err := p.awaitReady(ctx, site); err != nil {
		return PlatformReport{}, err
	}
	p.logProgress("sending queries; one target fails halfway")
	var report PlatformReport
	for i := range p.Queries {
		if i == p.Queries/2 {
			site.Targets[0].Behave(standin.Behaviour{Silence: true})
		}
		p.sendQuery(ctx, site, i, &report)
		clock.Sleep(platformPause)
	}
	return report, nil
}

func (p *Platform) awaitReady(ctx context.Context, site *standin.Site) error {
	deadline := clock.Now().Add(platformStartTimeout)
	for _, h := range site.Hosts {
		for !h.Ready(ctx) {
			if clock.Now().After(deadline) {
				return errors.Newf("host %s is not ready after %s", h.Settings.Host, platformStartTimeout)
			}
			clock.Sleep(platformPause)
		}
	}
	return nil
}

func (p *Platform) sendQuery(ctx context.Context, site *standin.Site, i int, report *PlatformReport) {
	id := fmt.Sprintf("%x", i+1)
	uri := standin.PathShards + "?q=" + id
	answer, err := site.Hosts[i%len(site.Hosts)].Send(ctx, id, uri, "")
	report.sent++
	switch {
	case err != nil:
		report.failed++
	case answer.Status == http.StatusServiceUnavailable:
		report.refused++
	case answer.Status != http.StatusOK:
		report.failed++
	case site.Check(id, uri, answer) != nil:
		report.wrong++
	case answer.Missing > 0:
		report.partial++
	default:
		report.complete++
	}
}

func (p *Platform) logProgress(line string) {
	// Progress is only informative, so a failed write does not fail the run.
	_, _ = fmt.Fprintln(p.Progress, line)
}
