package operator

import "github.com/magnoliashore/magnoliashore"

// Change is one cell in which two tables differ.
type Change struct {
	row    string
	column string
	before string
	after  string
}

// Row returns the kind and name of the row, such as "service look1".
func (c Change) Row() string { return c.row }

// Column returns the column. The column "row" means that the whole row was
// added, with an empty Before, or removed, with an empty After.
func (c Change) Column() string { return c.column }

// Before returns the cell in the first table.
func (c Change) Before() string { return c.before }

// After returns the cell in the second table.
func (c Change) After() string { return c.after }

// DiffTables returns the cells in which the tables differ: changed and removed
// rows in the order of before, then added rows in the order of after. It
// ignores the order of rows.
func DiffTables(before, after magnoliashore.Table) []Change {
	oldRows, newRows := tableRows(before), tableRows(after)
	oldNames, newNames := indexRows(oldRows), indexRows(newRows)
	var changes []Change
	for _, row := range oldRows {
		changes = append(changes, diffRow(row, newNames[rowName(row)])...)
	}
	for _, row := range newRows {
		if _, ok := oldNames[rowName(row)]; !ok {
			changes = append(changes, Change{row: rowName(row), column: columnRow, after: row[columnRow]})
		}
	}
	return changes
}

func diffRow(before, after map[string]string) []Change {
	if after == nil {
		return []Change{{row: rowName(before), column: columnRow, before: before[columnRow]}}
	}
	var changes []Change
	for _, column := range columns() {
		if before[column] == after[column] {
			continue
		}
		changes = append(changes, Change{
			row: rowName(before), column: column, before: before[column], after: after[column],
		})
	}
	return changes
}

// tableRows returns the zone rows and then the service rows, by column.
func tableRows(table magnoliashore.Table) []map[string]string {
	rows := make([]map[string]string, 0, len(table.Zones())+len(table.Services()))
	for _, z := range table.Zones() {
		rows = append(rows, zoneValues(z))
	}
	for _, s := range table.Services() {
		rows = append(rows, serviceValues(s))
	}
	return rows
}

func indexRows(rows []map[string]string) map[string]map[string]string {
	names := make(map[string]map[string]string, len(rows))
	for _, row := range rows {
		names[rowName(row)] = row
	}
	return names
}

func rowName(row map[string]string) string {
	return row[columnRow] + " " + row[columnName]
}
