package operator

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// decoder builds a table from its rows and collects their faults.
type decoder struct {
	faults     *faults
	firstLines map[string]int // line of the first row with a kind and name
	services   []magnoliashore.Service
	zones      []magnoliashore.Zone
	zoneRefs   []zoneReference
}

// zoneReference is a zone named in a service row.
type zoneReference struct {
	line int
	zone string
}

func (d *decoder) addRow(row parsedRow) {
	switch kind := row.values[columnRow]; kind {
	case rowService:
		d.addService(row)
	case rowZone:
		d.addZone(row)
	default:
		row.addFault(columnRow, "%q is not allowed; allowed are %s and %s", kind, rowService, rowZone)
	}
}

func (d *decoder) addService(row parsedRow) {
	d.checkUnique(row)
	slots, minConns, maxCold := d.slots(row)
	spec := magnoliashore.ServiceSpec{
		Name:     magnoliashore.ServiceName(row.name(columnName)),
		Group:    magnoliashore.GroupName(row.name(columnGroup)),
		Class:    row.class(columnClass),
		Weight:   row.number(columnWeight, minWeight, maxWeight),
		Zones:    d.serviceZones(row),
		Deadline: row.duration(columnDeadline, minDeadline, maxDeadline),
		Slots:    slots,
		Conns:    row.number(columnConns, minConns, maxConns),
		Cold:     row.number(columnCold, minCold, maxCold),
		Hedge:    row.boolean(columnHedge, valueYes, valueNo),
		Retry:    row.boolean(columnRetry, valueYes, valueNo),
		Queue:    row.number(columnQueue, minQueue, maxQueue),
		Coverage: row.fraction(columnCoverage),
		Off:      row.boolean(columnState, stateOff, stateOn),
	}
	d.services = append(d.services, magnoliashore.NewService(spec))
}

// slots parses the column slots, which is the lower bound of conns and the upper
// bound of cold. If slots is invalid, it returns the widest bounds, so that conns
// and cold are not reported because of it.
func (d *decoder) slots(row parsedRow) (slots, minConns, maxCold int) {
	before := d.faults.count()
	slots = row.number(columnSlots, minSlots, maxSlots)
	if d.faults.count() > before {
		return slots, minSlots, maxSlots
	}
	return slots, slots, slots
}

func (d *decoder) serviceZones(row parsedRow) []magnoliashore.ZoneName {
	names := row.names(columnZones)
	zones := make([]magnoliashore.ZoneName, 0, len(names))
	for _, name := range names {
		zones = append(zones, magnoliashore.ZoneName(name))
		d.zoneRefs = append(d.zoneRefs, zoneReference{line: row.line, zone: name})
	}
	return zones
}

func (d *decoder) addZone(row parsedRow) {
	d.checkUnique(row)
	for _, column := range columns() {
		if value := row.values[column]; value != "" && !slices.Contains(zoneColumns(), column) {
			row.addFault(column, "%q is not allowed in a zone row; allowed is nothing", value)
		}
	}
	name := magnoliashore.ZoneName(row.name(columnName))
	out := row.boolean(columnState, stateOut, stateIn)
	d.zones = append(d.zones, magnoliashore.NewZone(name, out))
}

// checkUnique records the line of a row and adds a fault if an earlier row has
// the same kind and name.
func (d *decoder) checkUnique(row parsedRow) {
	key := row.values[columnRow] + " " + row.values[columnName]
	if first, ok := d.firstLines[key]; ok {
		row.addFault(columnName, "%q has a row already at line %d; allowed is one", row.values[columnName], first)
		return
	}
	d.firstLines[key] = row.line
}

// checkTable checks constraints that span several rows: every zone named in a
// service row has a zone row, and there is a row of each kind.
func (d *decoder) checkTable() {
	for _, ref := range d.zoneRefs {
		if _, ok := d.firstLines[rowZone+" "+ref.zone]; !ok {
			d.faults.add(ref.line, columnZones, "zone %q has no zone row; allowed are zones with a row", ref.zone)
		}
	}
	if d.faults.count() > 0 {
		return
	}
	if len(d.services) == 0 {
		d.faults.add(1, columnRow, "no service row; needed is at least one")
	}
	if len(d.zones) == 0 {
		d.faults.add(1, columnRow, "no zone row; needed is one for each availability zone")
	}
}
