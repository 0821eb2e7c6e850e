package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/apply"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/record"
)

const getHelp = `Prints the configuration file that the store holds, byte for byte as it was
applied; its revision goes to standard error. With --output json, all in one object.
Exit code 0: printed; 1: there is none, or it can't be read; 5: store not reached.`

type getCommand struct {
	outputFlags
	storeFlags
}

// storedView is the JSON form of the configuration in the store.
type storedView struct {
	Revision uint64          `json:"revision"`
	ID       record.ChangeID `json:"change"`
	Operator string          `json:"operator"`
	Time     time.Time       `json:"time"`
	Text     string          `json:"text,omitempty"`
}

func viewStored(stored *apply.StoredRecord) *storedView {
	if stored == nil {
		return nil
	}
	return &storedView{Revision: stored.Revision, ID: stored.Record.ID, Operator: stored.Record.Operator, Time: stored.Record.Time}
}

// String describes the change for people.
func (v *storedView) String() string {
	return fmt.Sprintf("revision %d by %s at %s (change %s)", v.Revision, v.Operator, v.Time.Format(time.RFC3339), v.ID)
}

func (c *getCommand) run(ctx context.Context, out streams) int {
	s, err := c.open()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	defer s.Close()
	stored, err := apply.Current(ctx, s)
	if errors.Is(err, apply.ErrUnreadable) {
		return fail(out, err, exit.Failure)
	}
	if err != nil {
		return fail(out, err, exit.Unavailable)
	}
	if stored == nil {
		return fail(out, errors.New("The store holds no configuration yet."), exit.Failure)
	}
	view := viewStored(stored)
	if c.json() {
		view.Text = stored.Record.Text
		printJSON(out, view)
		return exit.OK
	}
	fmt.Fprintf(out.err, "This is %s.\n", view)
	fmt.Fprint(out.out, stored.Record.Text)
	return exit.OK
}
