package operator

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// maxFaults is the maximum number of faults listed for one table.
const maxFaults = 100

// faults collects the errors found in a table.
type faults struct {
	listed   []error
	unlisted int // faults beyond maxFaults
}

// add records a fault at a line and column of the table.
func (f *faults) add(line int, column, format string, args ...any) {
	if len(f.listed) >= maxFaults {
		f.unlisted++
		return
	}
	text := fmt.Sprintf(format, args...)
	f.listed = append(f.listed, errors.Newf("line %d, column %s: %s", line, column, text))
}

// count returns the number of faults, listed or not.
func (f *faults) count() int { return len(f.listed) + f.unlisted }

// err joins the listed faults and the number of unlisted ones. It returns nil if
// there are none.
func (f *faults) err() error {
	if len(f.listed) == 0 {
		return nil
	}
	if f.unlisted > 0 {
		return errors.Join(append(f.listed, errors.Newf("and %d more faults", f.unlisted))...)
	}
	return errors.Join(f.listed...)
}
