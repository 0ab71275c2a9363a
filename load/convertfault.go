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
func (c *converter) timeline(shape standin.Shape) []fault {
	var list []fault
	for i, w := range c.wire.Faults {
		at := fmt.Sprintf("faults[%d].", i)
		c.check(w.At >= 0 && w.At < c.wire.Length, at+"at", "%v is out of range; allowed is 0s to below the length, %v", w.At, c.wire.Length)
		f := parseFault(w)
		if fault := f.fault(shape, c.wire); fault != "" {
			c.fail(at+"do", "%q: %s", w.Do, fault)
		}
		list = append(list, f)
		if f.do == actionSnapshot {
			list = append(list, fault{at: f.at + retireDelay, do: actionRetire})
		}
	}
	slices.SortStableFunc(list, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return list
}

func parseFault(w wireFault) fault {
	do, on, _ := strings.Cut(strings.TrimSpace(w.Do), " ")
	return fault{at: w.At, do: action(do), on: strings.TrimSpace(on)}
}

// fault returns what is wrong with f; empty means nothing.
func (f fault) fault(shape standin.Shape, wire wireExperiment) string {
	switch f.do {
	case actionZoneOut, actionZoneIn:
		return oneOf("zone", f.on, shape.Zones())
	case actionChill, actionRestart:
		return oneOf("target", f.on, targetNames(shape))
	case actionLeave:
		if !wire.Embedded {
			return "only the entry hosts of an embedded experiment can be told to leave"
		}
		return oneOf("entry host", f.on, hostNames(wire.Hosts))
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
	var names []string
	for _, t := range shape.Targets() {
		names = append(names, t.ID)
	}
	return names
}

func hostNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("e%d", i+1))
	}
	return names
}
