// Command saltbend is the operators' tool: it checks and submits configuration files,
// shows the state and the events of the fleet (the balancers and agents of one
// installation) and analyses its logs.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/exit"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], streams{out: os.Stdout, err: os.Stderr})
	stop()
	os.Exit(code)
}

// streams are the standard output and the standard error of the process.
type streams struct {
	out, err io.Writer
}

// command is a subcommand: its fields are its flags and arguments.
type command interface {
	// run executes the command and returns the exit code.
	run(ctx context.Context, out streams) int
}

// subcommand is a command with its name and its texts in the help.
type subcommand struct {
	name, short, long string
	command           command
}

// commands lists the subcommands.
func commands() []subcommand {
	return []subcommand{
		{"validate", "check a configuration file", validateHelp, &validateCommand{}},
		{"apply", "submit a configuration file", applyHelp, &applyCommand{}},
		{"get", "print the configuration in the store", getHelp, &getCommand{}},
		{"status", "show the members and the configuration in force at each", statusHelp, &statusCommand{}},
		{"timeline", "print the events of all processes in one order", timelineHelp, &timelineCommand{}},
		{"packet-status", "show the state that balancers of the packet face report", packetStatusHelp, &packetStatusCommand{}},
		{"packet-validate", "check a settings file of the users' platform", packetValidateHelp, &packetValidateCommand{}},
		{"explain", "show from logs what happened to one flow of the packet face", explainHelp, &explainCommand{}},
		{"report", "plot the outcomes of requests over time", reportHelp, &reportCommand{}},
		{"version", "print the version", "Prints the version of this tool.", &versionCommand{}},
	}
}

// newParser returns the parser of the command line.
func newParser(all []subcommand) *flags.Parser {
	parser := flags.NewNamedParser("saltbend", flags.HelpFlag|flags.PassDoubleDash)
	for _, e := range all {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.command); err != nil {
			panic(err) // the struct tags of the command are invalid
		}
	}
	return parser
}

// run runs the tool and returns its exit code.
func run(ctx context.Context, args []string, out streams) int {
	all := commands()
	parser := newParser(all)
	rest, err := parser.ParseArgs(args)
	if help := (*flags.Error)(nil); errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(out.out, help.Message)
		return exit.OK
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintln(out.err, err)
		return exit.Usage
	}
	for _, e := range all {
		if e.name == parser.Active.Name {
			return e.command.run(ctx, out)
		}
	}
	panic("unreachable: the parser knows only these commands")
}
