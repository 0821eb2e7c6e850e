package main

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/platform"
)

const packetValidateHelp = `Checks a settings file of the users' platform for a role of the packet face and
prints all findings, each with its file, line where it is no JSON, and field.
Exit code 0: valid; 2: findings, or the file can't be read.`

type packetValidateCommand struct {
	outputFlags
	Role string `long:"role" value-name:"ROLE" default:"balancer" choice:"balancer" choice:"agent" description:"role of the host"`
	fileArgument
}

// settingsReport is the JSON form of the result of a check of settings.
type settingsReport struct {
	Valid    bool     `json:"valid"`
	Findings []string `json:"findings"`
}

func (c *packetValidateCommand) run(_ context.Context, out streams) int {
	text, err := c.read()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	host, err := platform.ParseHost(c.Args.File, text)
	if err == nil && c.Role == "agent" {
		err = host.CheckAgent(c.Args.File)
	} else if err == nil {
		err = host.CheckBalancer(c.Args.File)
	}
	checked := settingsReport{Valid: err == nil, Findings: []string{}}
	if findings := (settings.Findings)(nil); errors.As(err, &findings) {
		for _, f := range findings {
			checked.Findings = append(checked.Findings, f.String())
		}
	}
	if c.json() {
		printJSON(out, checked)
	}
	switch {
	case err != nil && !c.json():
		return fail(out, err, exit.Usage)
	case err != nil:
		return exit.Usage
	case !c.json():
		fmt.Fprintf(out.out, "%s is valid for the role %s: host %s in %s.\n", c.Args.File, c.Role, dash(host.Name), host.DataCentre)
	}
	return exit.OK
}
