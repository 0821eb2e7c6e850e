package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/version"
)

const validateHelp = `Checks a configuration file as a whole and prints all findings, each with its
line, column and field. Exit code 0: valid; 2: findings, or the file can't be read.`

type validateCommand struct {
	outputFlags
	Previous string `long:"previous" env:"SALTBEND_PREVIOUS" value-name:"PATH" description:"also check that the file may follow this one"`
	fileArgument
}

// validationReport is the JSON form of the result of a validation.
type validationReport struct {
	Valid    bool            `json:"valid"`
	Findings config.Findings `json:"findings"`
}

func (c *validateCommand) run(_ context.Context, out streams) int {
	previous, err := c.previous()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	data, err := c.read()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	parsed, findings := config.ParseNext(data, 0, previous)
	findings = findings.WithFile(c.Args.File)
	if c.json() {
		printJSON(out, validationReport{Valid: len(findings) == 0, Findings: append(config.Findings{}, findings...)})
	}
	if len(findings) > 0 {
		return refuse(out, findings, c.json())
	}
	if !c.json() {
		fmt.Fprintf(out.out, "%s is valid: %d services.\n", c.Args.File, len(parsed.Services))
	}
	return exit.OK
}

// previous reads the configuration that the file is to replace. It returns nil if none is
// given.
func (c *validateCommand) previous() (*config.Config, error) {
	if c.Previous == "" {
		return nil, nil
	}
	data, err := os.ReadFile(c.Previous)
	if err != nil {
		return nil, errors.Wrap(err, "read the previous configuration")
	}
	previous, findings := config.Parse(data, 0)
	return previous, findings.WithFile(c.Previous).Err()
}

// refuse prints the findings as text, unless they were printed as JSON, and returns the
// exit code.
func refuse(out streams, findings config.Findings, printed bool) int {
	if !printed {
		fmt.Fprintln(out.err, findings.Error())
		fmt.Fprintf(out.err, "The file has %d findings; nothing was written.\n", len(findings))
	}
	return exit.Usage
}

type versionCommand struct{}

func (versionCommand) run(_ context.Context, out streams) int {
	fmt.Fprintln(out.out, version.Version())
	return exit.OK
}
