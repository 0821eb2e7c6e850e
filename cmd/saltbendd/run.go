package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/agent"
	"github.com/saltbend/saltbend/internal/balancer"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/logging"
	packet "github.com/saltbend/saltbend/internal/packetface/role"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/internal/version"
)

// role is a subcommand with its settings and the function that runs it.
type role struct {
	name, short string
	settings    any
	common      *settings.Common
	check       func() settings.Findings
	run         func(context.Context, settings.Env) error
	// packet runs a role of the packet face. It is nil for the other roles, which use
	// run and common instead of packet and packetSettings.
	packet         func(packet.Env) error
	packetSettings *packetSettings
}

// checkOnly reports whether the settings are only to be checked.
func (r *role) checkOnly() bool {
	if r.packet != nil {
		return r.packetSettings.CheckOnly
	}
	return r.common.CheckOnly
}

func roles() []role {
	b, a := &balancer.Settings{}, &agent.Settings{}
	return []role{
		{
			name: "balancer", short: "spread the flows of the public faces over the agents",
			settings: b, common: &b.Common, check: b.Check,
			run: func(ctx context.Context, env settings.Env) error { return balancer.Run(ctx, *b, env) },
		},
		{
			name: "agent", short: "terminate the callers' flows beside one upstream",
			settings: a, common: &a.Common, check: a.Check,
			run: func(ctx context.Context, env settings.Env) error { return agent.Run(ctx, *a, env) },
		},
		packetRole("packet-balancer", "spread the flows of the packet face over its agents", packet.RunBalancer, &packetSettings{}),
		packetRole("packet-agent", "admit the packets of one upstream of the packet face, beside it", packet.RunAgent, &packetSettings{needsUpstream: true}),
	}
}

func packetRole(name, short string, run func(packet.Env) error, s *packetSettings) role {
	return role{name: name, short: short, settings: s, check: s.check, packet: run, packetSettings: s}
}

// run runs the program and returns its exit code.
func run(args []string, out streams, signals <-chan os.Signal) int {
	chosen, code := parse(args, out)
	if chosen == nil {
		return code
	}
	if findings := chosen.check(); len(findings) > 0 {
		fmt.Fprintln(out.err, findings.Error())
		return exit.Usage
	}
	if chosen.checkOnly() {
		fmt.Fprintln(out.out, "The settings are valid.")
		return exit.OK
	}
	if chosen.packet != nil {
		return servePacket(chosen.name, chosen.packetSettings, chosen.packet, out, signals)
	}
	return serve(chosen, out, signals)
}

// globalOptions are the flags outside of any role.
type globalOptions struct {
	Version bool `long:"version" description:"print the version and exit"`
}

// newParser returns the parser of the command line.
func newParser(global *globalOptions, all []role) *flags.Parser {
	parser := flags.NewNamedParser("saltbendd", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Global options", "", global); err != nil {
		panic(err) // the struct tags of the flags are invalid
	}
	for _, r := range all {
		if _, err := parser.AddCommand(r.name, r.short, exitHelp, r.settings); err != nil {
			panic(err)
		}
	}
	return parser
}

// exitHelp documents the exit codes, on which scripts and supervisors rely.
const exitHelp = `Exit code 0: stopped as asked; 1: failed while starting or running; 2: wrong flags or
environment, all findings are printed; 130: a second SIGTERM or SIGINT ended the process
before its work was done. SIGHUP reads --secrets-file again.`

// parse parses the command line. It returns the chosen role, or nil and the exit code if
// the process is to exit at once.
func parse(args []string, out streams) (*role, int) {
	var global globalOptions
	all := roles()
	parser := newParser(&global, all)
	rest, err := parser.ParseArgs(args)
	if help := (*flags.Error)(nil); errors.As(err, &help) && help.Type == flags.ErrHelp {
		fmt.Fprintln(out.out, help.Message)
		return nil, exit.OK
	}
	if err == nil && global.Version {
		fmt.Fprintln(out.out, version.Version())
		return nil, exit.OK
	}
	if err = checkCommandLine(parser, rest, err); err != nil {
		fmt.Fprintln(out.err, err)
		return nil, exit.Usage
	}
	for i := range all {
		if all[i].name == parser.Active.Name {
			return &all[i], exit.OK
		}
	}
	panic("unreachable: the parser knows only these roles")
}

// checkCommandLine returns err, or an error if there is an extra argument or no role.
func checkCommandLine(parser *flags.Parser, rest []string, err error) error {
	switch {
	case err != nil:
		return err
	case len(rest) > 0:
		return errors.Errorf("unexpected argument %q", rest[0])
	case parser.Active == nil:
		return errors.New("name a role: balancer, agent, packet-balancer or packet-agent")
	}
	return nil
}

// serve runs the role until it ends or a signal stops it.
func serve(r *role, out streams, signals <-chan os.Signal) int {
	ring, err := r.common.LoadRing()
	if err != nil {
		fmt.Fprintln(out.err, err)
		return exit.Usage
	}
	logger := logging.New(out.err, r.common.LogFormat, r.common.Level())
	daemon := logging.Part(logger, part)
	env := settings.Env{
		Logger:  logger,
		Events:  event.NewRing(event.DefaultRingSize, time.Now),
		Version: version.Version(),
		Keys:    settings.NewKeys(ring),
		Ready:   func(a settings.Addresses) { settings.LogReady(daemon, a) },
	}
	env.Events.Add(part, eventStarted, r.name+" "+env.Version)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- r.run(ctx, env) }()
	return waitForRole(r, env, daemon, done, cancel, signals)
}
