package operator

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Bounds of the columns.
const (
	maxNameBytes = 64
	minWeight    = 1
	maxWeight    = 1000
	minDeadline  = time.Millisecond
	maxDeadline  = time.Minute
	minSlots     = 1
	maxSlots     = 1024
	maxConns     = 65536
	minCold      = 1
	minQueue     = 0
	maxQueue     = 65536
)

// parsedRow holds the cells of one row by column and parses them. Invalid
// cells are added to faults.
type parsedRow struct {
	line   int
	values map[string]string
	faults *faults
}

func (r parsedRow) addFault(column, format string, args ...any) {
	r.faults.add(r.line, column, format, args...)
}

// name parses a cell with one name.
func (r parsedRow) name(column string) string {
	value := r.values[column]
	if !validName(value) {
		r.addFault(column, "%q is no name; allowed are 1 to %d letters, digits, '-', '_' and '.'", value, maxNameBytes)
	}
	return value
}

// names parses a cell with names separated by spaces.
func (r parsedRow) names(column string) []string {
	fields := strings.Fields(r.values[column])
	seen := make(map[string]bool, len(fields))
	for _, name := range fields {
		if !validName(name) {
			r.addFault(column, "%q is no name; allowed are 1 to %d letters, digits, '-', '_' and '.'", name, maxNameBytes)
		}
		if seen[name] {
			r.addFault(column, "%q is named twice", name)
		}
		seen[name] = true
	}
	return fields
}

// number parses a cell with a whole number from low to high. It returns low if
// the cell is invalid.
func (r parsedRow) number(column string, low, high int) int {
	value := r.values[column]
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		r.addFault(column, "%q is out of range; allowed is a whole number, %d to %d", value, low, high)
		return low
	}
	return n
}

// duration parses a cell with a duration and its unit, from low to high. It
// returns low if the cell is invalid.
func (r parsedRow) duration(column string, low, high time.Duration) time.Duration {
	value := r.values[column]
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		r.addFault(column, "%q is out of range; allowed is a time with unit, such as 80ms, %v to %v", value, low, high)
		return low
	}
	return d
}

// fraction parses a cell with a number from 0 to 1.
func (r parsedRow) fraction(column string) float64 {
	value := r.values[column]
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > 1 {
		r.addFault(column, "%q is out of range; allowed is a number, 0 to 1", value)
		return 0
	}
	return math.Abs(f) // turns -0 into 0
}

// boolean parses a cell that must hold yes or no, and reports whether it holds
// yes.
func (r parsedRow) boolean(column, yes, no string) bool {
	value := r.values[column]
	if value != yes && value != no {
		r.addFault(column, "%q is not allowed; allowed are %s and %s", value, yes, no)
	}
	return value == yes
}

// class parses a cell with a class.
func (r parsedRow) class(column string) magnoliashore.Class {
	value := r.values[column]
	allowed := make([]string, 0, len(magnoliashore.Classes()))
	for _, class := range magnoliashore.Classes() {
		if class.String() == value {
			return class
		}
		allowed = append(allowed, class.String())
	}
	r.addFault(column, "%q is not allowed; allowed are %s", value, strings.Join(allowed, ", "))
	return magnoliashore.ClassBackground
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if !validNameByte(name[i]) {
			return false
		}
	}
	return true
}

func validNameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return b == '-' || b == '_' || b == '.'
	}
}
