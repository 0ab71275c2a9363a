package operator

import (
	"slices"

	"github.com/magnoliashore/magnoliashore"
)

// decoder builds a table row by row.
type decoder struct {
	faults   *faults
	names    map[string]int // line of the first row, by kind and name
	services []magnoliashore.Service
	zones    []magnoliashore.Zone
	used     []usedZone
}

// usedZone is a zone that a service row names.
type usedZone struct {
	line int
	zone string
}

func (d *decoder) row(row cells) {
	switch kind := row.values[columnRow]; kind {
	case rowService:
		d.service(row)
	case rowZone:
		d.zone(row)
	default:
		row.fail(columnRow, "%q is not allowed; allowed are %s and %s", kind, rowService, rowZone)
	}
}

func (d *decoder) service(row cells) {
	d.unique(row)
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
		Hedge:    row.choice(columnHedge, valueYes, valueNo),
		Retry:    row.choice(columnRetry, valueYes, valueNo),
		Queue:    row.number(columnQueue, minQueue, maxQueue),
		Coverage: row.share(columnCoverage),
		Off:      row.choice(columnState, stateOff, stateOn),
	}
	d.services = append(d.services, magnoliashore.NewService(spec))
}

// slots returns the column slots and the bounds that it sets to conns and cold.
// A wrong value sets none, so that it is the only fault listed.
func (d *decoder) slots(row cells) (slots, minConns, maxCold int) {
	before := d.faults.count()
	slots = row.number(columnSlots, minSlots, maxSlots)
	if d.faults.count() > before {
		return slots, minSlots, maxSlots
	}
	return slots, slots, slots
}

func (d *decoder) serviceZones(row cells) []magnoliashore.ZoneName {
	names := row.names(columnZones)
	zones := make([]magnoliashore.ZoneName, 0, len(names))
	for _, name := range names {
		zones = append(zones, magnoliashore.ZoneName(name))
		d.used = append(d.used, usedZone{line: row.line, zone: name})
	}
	return zones
}

func (d *decoder) zone(row cells) {
	d.unique(row)
	for _, column := range columns() {
		if value := row.values[column]; value != "" && !slices.Contains(zoneColumns(), column) {
			row.fail(column, "%q is not allowed in a zone row; allowed is nothing", value)
		}
	}
	name := magnoliashore.ZoneName(row.name(columnName))
	out := row.choice(columnState, stateOut, stateIn)
	d.zones = append(d.zones, magnoliashore.NewZone(name, out))
}

// unique records the row's name and refuses a second row of that name.
func (d *decoder) unique(row cells) {
	key := row.values[columnRow] + " " + row.values[columnName]
	if first, ok := d.names[key]; ok {
		row.fail(columnName, "%q has a row already at line %d; allowed is one", row.values[columnName], first)
		return
	}
	d.names[key] = row.line
}

// finish checks what concerns several rows.
func (d *decoder) finish() {
	for _, use := range d.used {
		if _, ok := d.names[rowZone+" "+use.zone]; !ok {
			d.faults.add(use.line, columnZones, "zone %q has no zone row; allowed are zones with a row", use.zone)
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
