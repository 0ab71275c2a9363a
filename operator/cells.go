package operator

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// The ranges of the columns.
const (
	maxName     = 64 // bytes
	minWeight   = 1
	maxWeight   = 1000
	minDeadline = time.Millisecond
	maxDeadline = time.Minute
	minSlots    = 1
	maxSlots    = 1024
	maxConns    = 65536
	minCold     = 1
	minQueue    = 0
	maxQueue    = 65536
)

// cells gives the columns of one row by name and records their faults.
type cells struct {
	line   int
	values map[string]string
	faults *faults
}

func (c cells) fail(column, format string, args ...any) {
	c.faults.add(c.line, column, format, args...)
}

// name returns a cell that holds one name.
func (c cells) name(column string) string {
	value := c.values[column]
	if !validName(value) {
		c.fail(column, "%q is no name; allowed are 1 to %d letters, digits, '-', '_' and '.'", value, maxName)
	}
	return value
}

// names returns a cell that holds names joined by spaces.
func (c cells) names(column string) []string {
	fields := strings.Fields(c.values[column])
	seen := make(map[string]bool, len(fields))
	for _, name := range fields {
		if !validName(name) {
			c.fail(column, "%q is no name; allowed are 1 to %d letters, digits, '-', '_' and '.'", name, maxName)
		}
		if seen[name] {
			c.fail(column, "%q is named twice", name)
		}
		seen[name] = true
	}
	return fields
}

// number returns a cell that holds a whole number from low to high.
func (c cells) number(column string, low, high int) int {
	value := c.values[column]
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		c.fail(column, "%q is out of range; allowed is a whole number, %d to %d", value, low, high)
		return low
	}
	return n
}

// duration returns a cell that holds a duration with its unit.
func (c cells) duration(column string, low, high time.Duration) time.Duration {
	value := c.values[column]
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		c.fail(column, "%q is out of range; allowed is a time with unit, such as 80ms, %v to %v", value, low, high)
		return low
	}
	return d
}

// share returns a cell that holds a number from 0 to 1.
func (c cells) share(column string) float64 {
	value := c.values[column]
	f, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > 1 {
		c.fail(column, "%q is out of range; allowed is a number, 0 to 1", value)
		return 0
	}
	return math.Abs(f)
}

// choice returns whether a cell holds yes, the other allowed value being no.
func (c cells) choice(column, yes, no string) bool {
	value := c.values[column]
	if value != yes && value != no {
		c.fail(column, "%q is not allowed; allowed are %s and %s", value, yes, no)
	}
	return value == yes
}

// class returns a cell that holds a class.
func (c cells) class(column string) magnoliashore.Class {
	value := c.values[column]
	allowed := make([]string, 0, len(magnoliashore.Classes()))
	for _, class := range magnoliashore.Classes() {
		if class.String() == value {
			return class
		}
		allowed = append(allowed, class.String())
	}
	c.fail(column, "%q is not allowed; allowed are %s", value, strings.Join(allowed, ", "))
	return magnoliashore.ClassBackground
}

func validName(name string) bool {
	if name == "" || len(name) > maxName {
		return false
	}
	for i := range len(name) {
		if !nameByte(name[i]) {
			return false
		}
	}
	return true
}

func nameByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	default:
		return b == '-' || b == '_' || b == '.'
	}
}
