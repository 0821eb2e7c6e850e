package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/dayplot"
	"github.com/saltbend/saltbend/internal/exit"
)

const reportHelp = `Draws what became of requests over time, served, late, refused and failed, with the
faults marked: from reports of the soak (JSON lines) or of days of the users' bench
(JSON), into one HTML file that needs nothing else.
Exit code 0: written; 1: a report can't be read, or the page not be written; 2: wrong
flags.`

type reportCommand struct {
	Out  string `long:"out" value-name:"FILE" default:"report.html" description:"HTML file to write"`
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"reports" required:"1"`
	} `positional-args:"yes"`
}

func (c *reportCommand) run(_ context.Context, out streams) int {
	var days []dayplot.Day
	for _, name := range c.Args.Files {
		read, err := readDays(name)
		if err != nil {
			return fail(out, err, exit.Failure)
		}
		days = append(days, read...)
	}
	if err := c.writePage(days); err != nil {
		return fail(out, err, exit.Failure)
	}
	fmt.Fprintf(out.out, "%s shows %d days.\n", c.Out, len(days))
	return exit.OK
}

func readDays(name string) ([]dayplot.Day, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "read a report")
	}
	defer file.Close() // nothing is written, so no data can be lost
	return dayplot.Read(name, file)
}

func (c *reportCommand) writePage(days []dayplot.Day) error {
	file, err := os.Create(c.Out)
	if err != nil {
		return errors.Wrap(err, "write the page")
	}
	if err := dayplot.Write(file, days); err != nil {
		_ = file.Close() // the first error is returned
		return err
	}
	return errors.Wrap(file.Close(), "write the page")
}
