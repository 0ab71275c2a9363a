package load

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

// retireDelay is the time from publishing a snapshot to retiring the previous
// one.
const retireDelay = time.Second

// timeline returns the faults in order of time. Each new snapshot also gets a
// fault that retires the previous one.
func (c *converter) timeline(e Experiment) []fault {
	var list []fault
	for i, w := range c.wire.Faults {
		prefix := fmt.Sprintf("faults[%d].", i)
		f := parseFault(w.Do)
		f.at = c.duration(prefix+"at", w.At, 0, e.length)
		if problem := f.problem(e); problem != "" {
			c.addError(prefix+"do", "%q: %s", w.Do, problem)
		}
		list = append(list, f)
		if f.action == actionSnapshot {
			list = append(list, fault{at: f.at + retireDelay, action: actionRetire})
		}
	}
	slices.SortStableFunc(list, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return list
}

func parseFault(text string) fault {
	name, argument, _ := strings.Cut(strings.TrimSpace(text), " ")
	return fault{action: action(name), argument: strings.TrimSpace(argument)}
}

// problem describes why f is invalid for e; it is empty if f is valid.
func (f fault) problem(e Experiment) string {
	switch f.action {
	case actionZoneOut, actionZoneIn:
		return checkExists("zone", f.argument, e.shape.Zones())
	case actionChill, actionRestart:
		return checkExists("target", f.argument, targetNames(e.shape))
	case actionLeave:
		if !e.embedded {
			return "allowed only in an embedded experiment"
		}
		return checkExists("entry host", f.argument, hostNames(e.hosts))
	case actionSnapshot:
		if f.argument != "" {
			return "snapshot takes no argument"
		}
		return ""
	case actionPlatform:
		if _, err := standin.ParseMode(f.argument); err != nil {
			return err.Error()
		}
		return ""
	default:
		return "unknown action; the actions are zone-out, zone-in, chill, restart, leave, snapshot and platform"
	}
}

func checkExists(kind, name string, names []string) string {
	if slices.Contains(names, name) {
		return ""
	}
	return fmt.Sprintf("%s %q does not exist", kind, name)
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
