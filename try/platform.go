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

// Platform runs hosts on stand-ins for the users' platform, asks queries over
// all shards, loses one target on the way, and compares every answer with what
// the targets hold.
type Platform struct {
	Progress io.Writer
	Queries  int
}

// PlatformReport counts the answers.
type PlatformReport struct {
	asked, whole, partial, refused, failed, wrong int
}

// Wrong returns how many answers were not true.
func (r PlatformReport) Wrong() int { return r.wrong }

// WriteText writes the report as a table.
func (r PlatformReport) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "asked %d\nwhole %d\npartial %d\nrefused %d\nfailed %d\nwrong %d\n",
		r.asked, r.whole, r.partial, r.refused, r.failed, r.wrong)
	return errors.Wrap(err, "writing the report")
}

const (
	platformStart = 10 * time.Second
	platformPause = 20 * time.Millisecond // between two queries
)

// Run does the job.
func (p *Platform) Run(ctx context.Context) (PlatformReport, error) {
	p.tell("starting a store, targets, and three hosts")
	site, err := standin.NewSite(&log.Logger{Handler: discard.New(), Level: log.FatalLevel})
	if err != nil {
		return PlatformReport{}, err
	}
	defer site.Close()
	for i, zone := range []magnoliashore.ZoneName{"a", "b", "c"} {
		site.StartHost(fmt.Sprintf("h%d", i), zone)
	}
	if err := p.ready(ctx, site); err != nil {
		return PlatformReport{}, err
	}
	p.tell("asking queries, and losing one target half way")
	var report PlatformReport
	for i := range p.Queries {
		if i == p.Queries/2 {
			site.Targets[0].Behave(standin.Behaviour{Silence: true})
		}
		p.ask(ctx, site, i, &report)
		clock.Sleep(platformPause)
	}
	return report, nil
}

func (p *Platform) ready(ctx context.Context, site *standin.Site) error {
	deadline := clock.Now().Add(platformStart)
	for _, h := range site.Hosts {
		for !h.Ready(ctx) {
			if clock.Now().After(deadline) {
				return errors.Newf("host %s is not ready after %s", h.Settings.Host, platformStart)
			}
			clock.Sleep(platformPause)
		}
	}
	return nil
}

func (p *Platform) ask(ctx context.Context, site *standin.Site, i int, report *PlatformReport) {
	id := fmt.Sprintf("%x", i+1)
	uri := standin.PathShards + "?q=" + id
	answer, err := site.Hosts[i%len(site.Hosts)].Send(ctx, id, uri, "")
	report.asked++
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
		report.whole++
	}
}

func (p *Platform) tell(what string) {
	_, _ = fmt.Fprintln(p.Progress, what) // progress is for people; the report counts
}
