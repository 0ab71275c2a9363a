package operator

import (
	"bytes"
	"encoding/csv"
	"strconv"
	"strings"

	"github.com/magnoliashore/magnoliashore"
)

// EncodeTable encodes the operators' table as CSV for DecodeTable: the header,
// the zone rows and the service rows.
func EncodeTable(table magnoliashore.Table) ([]byte, error) {
	records := make([][]string, 0, 1+len(table.Zones())+len(table.Services()))
	records = append(records, columns())
	for _, z := range table.Zones() {
		records = append(records, record(zoneValues(z)))
	}
	for _, s := range table.Services() {
		records = append(records, record(serviceValues(s)))
	}
	var out bytes.Buffer
	if err := csv.NewWriter(&out).WriteAll(records); err != nil {
		return nil, magnoliashore.Step(err, "encode table", "")
	}
	return out.Bytes(), nil
}

// record returns the values of one row in column order.
func record(values map[string]string) []string {
	out := make([]string, 0, len(columns()))
	for _, column := range columns() {
		out = append(out, values[column])
	}
	return out
}

func zoneValues(z magnoliashore.Zone) map[string]string {
	return map[string]string{
		columnRow:   rowZone,
		columnName:  string(z.Name()),
		columnState: formatBool(z.Out(), stateOut, stateIn),
	}
}

func serviceValues(s magnoliashore.Service) map[string]string {
	zones := make([]string, 0, len(s.Zones()))
	for _, z := range s.Zones() {
		zones = append(zones, string(z))
	}
	return map[string]string{
		columnRow:      rowService,
		columnName:     string(s.Name()),
		columnGroup:    string(s.Group()),
		columnClass:    s.Class().String(),
		columnWeight:   strconv.Itoa(s.Weight()),
		columnZones:    strings.Join(zones, " "),
		columnDeadline: s.Deadline().String(),
		columnSlots:    strconv.Itoa(s.Slots()),
		columnConns:    strconv.Itoa(s.Conns()),
		columnCold:     strconv.Itoa(s.Cold()),
		columnHedge:    formatBool(s.Hedge(), valueYes, valueNo),
		columnRetry:    formatBool(s.Retry(), valueYes, valueNo),
		columnQueue:    strconv.Itoa(s.Queue()),
		columnCoverage: strconv.FormatFloat(s.Coverage(), 'g', -1, 64),
		columnState:    formatBool(s.Off(), stateOff, stateOn),
	}
}

func formatBool(value bool, yes, no string) string {
	if value {
		return yes
	}
	return no
}
