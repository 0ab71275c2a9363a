package operator

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// maxFaults bounds how many faults of one table are listed.
const maxFaults = 100

// faults collects what is wrong with a table.
type faults struct {
	list []error
	more int
}

// add records a fault at a line and column of the table.
func (f *faults) add(line int, column, format string, args ...any) {
	if len(f.list) >= maxFaults {
		f.more++
		return
	}
	text := fmt.Sprintf(format, args...)
	f.list = append(f.list, errors.Newf("line %d, column %s: %s", line, column, text))
}

// count returns how many faults there are.
func (f *faults) count() int { return len(f.list) + f.more }

// err returns all faults joined, or nil.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	if f.more > 0 {
		return errors.Join(append(f.list, errors.Newf("and %d more faults", f.more))...)
	}
	return errors.Join(f.list...)
}
