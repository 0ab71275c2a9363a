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

	verdict, _ := ledger.Begin(now, t)
	fmt.Println(verdict)
	verdict, _ = ledger.Begin(now, t)
	fmt.Println(verdict)

	ledger.Finish(now, t, magnoliashore.NewAnswer(magnoliashore.AnswerSpec{
		Outcome: magnoliashore.OutcomeRan,
	}))
	verdict, answer := ledger.Begin(now, t)
	fmt.Println(verdict, answer.Outcome())
	// Output:
	// run
	// joined
	// final ran
}
