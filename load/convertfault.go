package load

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

// retireDelay is how long after a newer snapshot is published the old one is
// retired.
const retireDelay = time.Second

// timeline returns the faults in order of time.
func (c *converter) timeline(e Experiment) []fault {
	var list []fault
	for i, w := range c.wire.Faults {
		at := fmt.Sprintf("faults[%d].", i)
		f := parseFault(w.Do)
		f.at = c.time(at+"at", w.At, 0, e.length)
		if wrong := f.wrong(e); wrong != "" {
			c.fail(at+"do", "%q: %s", w.Do, wrong)
		}
		list = append(list, f)
		if f.do == actionSnapshot {
			list = append(list, fault{at: f.at + retireDelay, do: actionRetire})
		}
	}
	slices.SortStableFunc(list, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return list
}

func parseFault(text string) fault {
	do, on, _ := strings.Cut(strings.TrimSpace(text), " ")
	return fault{do: action(do), on: strings.TrimSpace(on)}
}

// wrong returns what is wrong with f; empty means nothing.
func (f fault) wrong(e Experiment) string {
	switch f.do {
	case actionZoneOut, actionZoneIn:
		return oneOf("zone", f.on, e.shape.Zones())
	case actionChill, actionRestart:
		return oneOf("target", f.on, targetNames(e.shape))
	case actionLeave:
		if !e.embedded {
			return "only the entry hosts of an embedded experiment can be told to leave"
		}
		return oneOf("entry host", f.on, hostNames(e.hosts))
	case actionSnapshot:
		if f.on != "" {
			return "nothing may follow"
		}
		return ""
	case actionPlatform:
		if _, err := standin.ParseMode(f.on); err != nil {
			return err.Error()
		}
		return ""
	default:
		return "no such action; allowed are zone-out, zone-in, chill, restart, leave, snapshot and platform"
	}
}

func oneOf(what, name string, names []string) string {
	if slices.Contains(names, name) {
		return ""
	}
	return fmt.Sprintf("%s %q does not exist", what, name)
}

func targetNames(shape standin.Shape) []string {
	targets := shape.Targets()
	names := make([]string, 0, len(targets))
	for _, t := range targets {
		names = append(names, t.ID)
	}
	return names
}

func hostNames(n int) []string {
	names := make([]string, 0, n)
	for i := range n {
		names = append(names, fmt.Sprintf("e%d", i+1))
	}
	return names
}
