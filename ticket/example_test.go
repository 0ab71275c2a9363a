package ticket_test

import (
	"fmt"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/ticket"
)

func Example() {
	now := time.Unix(1000, 0)
	ledger := ticket.New(ticket.Config{
		Host: "e1", Incarnation: 17, EpochLength: time.Minute, MaxTickets: 1000, MaxAnswerBytes: 1 << 20,
	}, now)
	t := magnoliashore.NewTicket("e1", 17, ledger.Epoch(now), "f00d")

	decision, _ := ledger.Begin(now, t)
	fmt.Println(decision)
	decision, _ = ledger.Begin(now, t)
	fmt.Println(decision)

	ledger.Finish(now, t, magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Outcome: magnoliashore.OutcomeRan,
	}))
	decision, answer := ledger.Begin(now, t)
	fmt.Println(decision, answer.Outcome())
	// Output:
	// run
	// joined
	// final ran
}
