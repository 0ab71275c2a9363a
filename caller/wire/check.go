package wire

// checkQuery validates the field values of a decoded query.
func checkQuery(m queryMessage) error {
	if len(m.ID) > maxNameBytes {
		return fieldError("id", "it has %d bytes; allowed are at most %d", len(m.ID), maxNameBytes)
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
	if err := checkMerge(m.Merge, m.TopK); err != nil {
		return err
	}
	return checkTicket(m.AtMostOnce, m.Ticket)
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fieldError(field, "it has %d bytes; allowed are 1 to %d", len(name), maxNameBytes)
	}
	return nil
}

func checkServices(services []string) error {
	if len(services) > maxServices {
		return fieldError("services", "it names %d services; allowed are at most %d", len(services), maxServices)
	}
	seen := make(map[string]bool, len(services))
	for _, name := range services {
		if err := checkName("services", name); err != nil {
			return err
		}
		if seen[name] {
			return fieldError("services", "%q comes twice; allowed is once", name)
		}
		seen[name] = true
	}
	return nil
}

func checkDeadline(deadline *int64) error {
	maxMilliseconds := MaxDeadline.Milliseconds()
	if deadline != nil && (*deadline < 1 || *deadline > maxMilliseconds) {
		return fieldError("deadline", "%d is out of range; allowed are 1 to %d milliseconds", *deadline, maxMilliseconds)
	}
	return nil
}

func checkMerge(merge string, topK int) error {
	switch merge {
	case "", mergeAll:
		if topK != 0 {
			return fieldError("best", "%d is not allowed without merge %q", topK, mergeTopK)
		}
		return nil
	case mergeTopK:
		if topK < 1 || topK > maxTopK {
			return fieldError("best", "%d is out of range; allowed are 1 to %d", topK, maxTopK)
		}
		return nil
	default:
		return fieldError("merge", "%q is not allowed; allowed are %s and %s", merge, mergeAll, mergeTopK)
	}
}

func checkTicket(atMostOnce bool, t *ticketMessage) error {
	if t == nil {
		if atMostOnce {
			return ticketError("ticket", "missing; a query with once needs one")
		}
		return nil
	}
	switch {
	case t.Host == "" || len(t.Host) > maxNameBytes:
		return ticketError("ticket.host", "it has %d bytes; allowed are 1 to %d", len(t.Host), maxNameBytes)
	case t.Incarnation == 0:
		return ticketError("ticket.incarnation", "0 is not allowed; allowed is what /entries says")
	case t.Epoch == 0:
		return ticketError("ticket.epoch", "0 is not allowed; allowed is what /entries says")
	case t.ID == "" || len(t.ID) > maxTicketIDBytes:
		return ticketError("ticket.id", "it has %d bytes; allowed are 1 to %d", len(t.ID), maxTicketIDBytes)
	}
	return nil
}
