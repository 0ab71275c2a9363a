package operator

import "slices"

// The columns of the operators' table.
const (
	columnRow      = "row"
	columnName     = "name"
	columnGroup    = "group"
	columnClass    = "class"
	columnWeight   = "weight"
	columnZones    = "zones"
	columnDeadline = "deadline"
	columnSlots    = "slots"
	columnConns    = "conns"
	columnCold     = "cold"
	columnHedge    = "hedge"
	columnRetry    = "retry"
	columnQueue    = "queue"
	columnCoverage = "coverage"
	columnState    = "state"
)

// The values of the column row.
const (
	rowService = "service"
	rowZone    = "zone"
)

// The values of the column state.
const (
	stateOn  = "on"
	stateOff = "off"
	stateIn  = "in"
	stateOut = "out"
)

// The values of the columns hedge and retry.
const (
	valueYes = "yes"
	valueNo  = "no"
)

// columns returns all columns in the order used for encoding.
func columns() []string {
	return []string{
		columnRow, columnName, columnGroup, columnClass, columnWeight,
		columnZones, columnDeadline, columnSlots, columnConns, columnCold,
		columnHedge, columnRetry, columnQueue, columnCoverage, columnState,
	}
}

// zoneColumns returns the columns that are filled in a zone row.
func zoneColumns() []string {
	return []string{columnRow, columnName, columnState}
}

func validColumn(name string) bool {
	return slices.Contains(columns(), name)
}
