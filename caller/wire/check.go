package wire

// checkQuery checks the ranges of a query that could be read.
func checkQuery(m queryMessage) error {
	if len(m.ID) > maxName {
		return wrongField("id", "it has %d bytes; allowed are at most %d", len(m.ID), maxName)
	}
	if err := checkName("group", m.Group); err != nil {
		return err
	}
	if err := checkServices(m.Services); err != nil {
		return err
	}
	if err := checkDeadline(m.Deadline); err != nil {
		return err
	}
	if err := checkMerge(m.Merge, m.Best); err != nil {
		return err
	}
	return checkTicket(m.Once, m.Ticket)
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxName {
		return wrongField(field, "it has %d bytes; allowed are 1 to %d", len(name), maxName)
	}
	return nil
}

func checkServices(services []string) error {
	if len(services) > maxServices {
		return wrongField("services", "it names %d services; allowed are at most %d", len(services), maxServices)
	}
	seen := make(map[string]bool, len(services))
	for _, name := range services {
		if err := checkName("services", name); err != nil {
			return err
		}
		if seen[name] {
			return wrongField("services", "%q comes twice; allowed is once", name)
		}
		seen[name] = true
	}
	return nil
}

func checkDeadline(deadline *int64) error {
	high := MaxDeadline.Milliseconds()
	if deadline != nil && (*deadline < 1 || *deadline > high) {
		return wrongField("deadline", "%d is out of range; allowed are 1 to %d milliseconds", *deadline, high)
	}
	return nil
}

func checkMerge(merge string, best int) error {
	switch merge {
	case "", mergeAll:
		if best != 0 {
			return wrongField("best", "%d is not allowed without merge %q", best, mergeBest)
		}
		return nil
	case mergeBest:
		if best < 1 || best > maxBest {
			return wrongField("best", "%d is out of range; allowed are 1 to %d", best, maxBest)
		}
		return nil
	default:
		return wrongField("merge", "%q is not allowed; allowed are %s and %s", merge, mergeAll, mergeBest)
	}
}

func checkTicket(once bool, t *ticketMessage) error {
	if t == nil {
		if once {
			return wrongTicket("ticket", "missing; a query with once needs one")
		}
		return nil
	}
	switch {
	case t.Host == "" || len(t.Host) > maxName:
		return wrongTicket("ticket.host", "it has %d bytes; allowed are 1 to %d", len(t.Host), maxName)
	case t.Incarnation == 0:
		return wrongTicket("ticket.incarnation", "0 is not allowed; allowed is what /entries says")
	case t.Epoch == 0:
		return wrongTicket("ticket.epoch", "0 is not allowed; allowed is what /entries says")
	case t.ID == "" || len(t.ID) > maxTicket:
		return wrongTicket("ticket.id", "it has %d bytes; allowed are 1 to %d", len(t.ID), maxTicket)
	}
	return nil
}
