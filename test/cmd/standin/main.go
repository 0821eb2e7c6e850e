// Command standin runs a simulated component of the platform (store, fabric or upstream) as
// a process. It logs "Ready." with its address and ends on SIGTERM or SIGINT.
package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/test/fabric"
	"github.com/saltbend/saltbend/test/storefake"
	"github.com/saltbend/saltbend/test/upstream"
)

const readHeaderTimeout = 10 * time.Second

type storeCommand struct{}

// Execute runs the simulated store.
func (storeCommand) Execute([]string) error { return serve(storefake.New().Handler()) }

type fabricCommand struct{}

// Execute runs the simulated fabric.
func (fabricCommand) Execute([]string) error {
	f := fabric.New()
	defer f.Close()
	return serve(f.Handler())
}

type upstreamCommand struct {
	Name         string        `long:"name" required:"yes" description:"Name in the run log."`
	Service      string        `long:"service" required:"yes" description:"Service that this upstream belongs to."`
	RunLog       string        `long:"run-log" required:"yes" description:"File to which runs are appended."`
	Slots        int           `long:"slots" default:"5" description:"Maximum number of concurrent requests."`
	ServiceTime  time.Duration `long:"service-time" default:"5ms" description:"Time for which a request occupies its slot."`
	ColdFor      time.Duration `long:"cold-for" description:"Duration of the cold start."`
	ColdFactor   int           `long:"cold-factor" default:"4" description:"Factor by which the service time is longer during the cold start."`
	FeedInterval time.Duration `long:"feed-interval" default:"200ms" description:"Time between events of a feed."`
}

// Execute runs a simulated upstream.
func (c *upstreamCommand) Execute([]string) error {
	log, err := os.OpenFile(c.RunLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open run log")
	}
	defer log.Close()
	u := upstream.New(c.Name, c.Service, upstream.Behaviour{
		Slots:        c.Slots,
		ServiceTime:  c.ServiceTime,
		ColdFor:      c.ColdFor,
		ColdFactor:   c.ColdFactor,
		FeedInterval: c.FeedInterval,
	}, log)
	return serve(u.Handler())
}

// serve serves HTTP on a port assigned by the kernel until it receives SIGTERM or SIGINT.
func serve(handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close() // the process ends in any case
	}()
	slog.New(slog.NewJSONHandler(os.Stderr, nil)).Info("Ready.", "address", listener.Addr().String())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

func main() {
	parser := flags.NewNamedParser("standin", flags.Default)
	add(parser, "store", "Run the key-value service.", &storeCommand{})
	add(parser, "fabric", "Run the packet fabric.", &fabricCommand{})
	add(parser, "upstream", "Run an upstream.", &upstreamCommand{})
	if _, err := parser.Parse(); err != nil {
		os.Exit(1) // the parser has printed the error
	}
}

func add(parser *flags.Parser, name, description string, command any) {
	if _, err := parser.AddCommand(name, description, "", command); err != nil {
		panic(err) // names are constants
	}
}
